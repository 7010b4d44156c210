"""What the callers of a bench have recorded."""

from __future__ import annotations

from briarspoke.hashing import partition_of


class CallRecord:
    """One request of a caller.

    :param target: index of the entry VM it was sent to.
    :param due_at: monotonic time at which it was due.
    :param ended_at: time of its end, None if it never ended.
    :param status: HTTP status, 0 without an answer.
    :param code: result code of an answer made by briarspoke, else 0.
    """

    __slots__ = ("code", "due_at", "ended_at", "key", "status", "target")

    def __init__(self, key, target, due_at, ended_at, status, code):
        self.key = key
        self.target = target
        self.due_at = due_at
        self.ended_at = ended_at
        self.status = status
        self.code = code

    @property
    def ok(self):
        """Whether the server's answer arrived."""
        return self.status == 200 and not self.code

    def partition(self, count):
        """Returns the partition of the key among ``count``."""
        return partition_of(f"key-{self.key}", count)


class Callers:
    """Callers that send lookups at a fixed rate until they are stopped.

    :param parts: the :class:`Parts` that ends the process.
    :param ports: pairs of host and port, taken in turn.
    """

    def __init__(self, parts, *, service, keys, rate, ports):
        self._part = parts.start(
            "callers", service=service, keys=keys, rate=rate, ports=ports
        )
        self._part.ask(start=True)

    def stop(self):
        """Returns the :class:`CallRecord` list once the last requests have ended."""
        return _records_of(self._part.ask(stop=True))


def _records_of(answer):
    """Returns the :class:`CallRecord` list of a callers part's answer."""
    return [CallRecord(*values) for values in answer["records"]]


def share_ok(records):
    """Returns the share of requests that were answered, None without any."""
    return sum(r.ok for r in records) / len(records) if records else None


def between(records, begin, end):
    """Returns the records that were due in a span of time."""
    return [r for r in records if begin <= r.due_at < end]


def count_by_code(records):
    """Returns the number of failed requests by result code, 0 for cut ones."""
    counts = {}
    for record in records:
        if not record.ok:
            counts[record.code] = counts.get(record.code, 0) + 1
    return {str(code): count for code, count in sorted(counts.items())}
