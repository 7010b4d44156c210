"""Which answers may promise that a request has not run."""

from __future__ import annotations

from briarspoke.platform import headers as header_names

# Statuses that promise callers that a request has not run and never will.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


def says_not_run(answer):
    """Returns whether a server says that it has not run a request.

    Nothing else in an answer says so, whatever its status.

    :param answer: the :class:`briarspoke.entry.connections.Answer`.
    """
    return answer.get(header_names.NOT_RUN) is not None or answer.status == 421


def promises_too_much(answer, *, idempotent, earlier_unknown):
    """Returns whether an answer of a run would promise callers that there was none.

    Callers repeat after such a status. That does no harm to a request that may run
    twice, so they get the server's own answer, unless it only refuses a retry and an
    earlier attempt may have run.

    :param answer: the :class:`briarspoke.entry.connections.Answer` of a server that
        does not say that it has not run the request.
    :param idempotent: whether the request may run twice.
    :param earlier_unknown: whether an earlier attempt may have run.
    """
    return answer.status in PROMISING_STATUSES and (not idempotent or earlier_unknown)
