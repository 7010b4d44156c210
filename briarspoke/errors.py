"""The exception tree."""

from __future__ import annotations

from briarspoke import codes


class BriarspokeError(Exception):
    """Base of every error that the program raises on purpose."""


class UserError(BriarspokeError):
    """An error that a person can mend; shown without a traceback."""


class CodedError(BriarspokeError):
    """An error that carries a result code.

    :param code: the :class:`briarspoke.codes.ResultCode`.
    :param detail: one sentence for the reader, without secrets.
    """

    def __init__(self, code, detail=""):
        super().__init__(f"{code.number} {code.name}: {detail or code.meaning}")
        self.code = code
        self.detail = detail or code.meaning


class Refusal(CodedError):
    """A request was turned away and has not run.

    :param retry_after_ms: when trying again makes sense, or None.
    """

    def __init__(self, code, detail="", *, retry_after_ms=None):
        super().__init__(code, detail)
        self.retry_after_ms = retry_after_ms


class InvariantError(CodedError):
    """An assertion inside an aggregate failed."""


# Called with the result code of each failed invariant, to count it.
invariant_observers = []


def invariant(condition, detail, code=codes.INVARIANT):
    """Raises :exc:`InvariantError` unless the condition holds.

    Unlike ``assert`` it stays on under ``python -O``.

    :param code: the result code that counts this invariant.
    """
    if condition:
        return
    for observe in invariant_observers:
        observe(code)
    raise InvariantError(code, detail)
