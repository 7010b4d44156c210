"""Base classes of the program's exceptions, and checks of invariants."""

from __future__ import annotations

from briarspoke import codes


class BriarspokeError(Exception):
    """Base of every error that the program raises on purpose."""


class UserError(BriarspokeError):
    """An error that the user can fix; it is shown without a traceback."""


class CodedError(BriarspokeError):
    """An error that carries a result code.

    :param code: the :class:`briarspoke.codes.ResultCode`.
    :param detail: one sentence for the user, without secrets; by default the meaning
        of the code.
    """

    def __init__(self, code, detail=""):
        super().__init__(f"{code.number} {code.name}: {detail or code.meaning}")
        self.code = code
        self.detail = detail or code.meaning


class Refusal(CodedError):
    """A request was refused and has not been run.

    :param retry_after_ms: milliseconds after which a retry makes sense, or None.
    """

    def __init__(self, code, detail="", *, retry_after_ms=None):
        super().__init__(code, detail)
        self.retry_after_ms = retry_after_ms


class InvariantError(CodedError):
    """An invariant of the program does not hold."""


# Functions that are called with the result code of each failed invariant.
invariant_observers = []


def invariant(condition, detail, code=codes.INVARIANT):
    """Raises :exc:`InvariantError` unless the condition holds.

    Unlike ``assert``, it is not disabled by ``python -O``.

    :param detail: one sentence about the failure, without secrets.
    :param code: the result code under which a failure is counted.
    """
    if condition:
        return
    for observe in invariant_observers:
        observe(code)
    raise InvariantError(code, detail)
