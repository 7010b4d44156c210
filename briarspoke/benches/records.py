"""Request records of the callers of a bench, and figures derived from them."""

from __future__ import annotations

from briarspoke.hashing import partition_of


class CallRecord:
    """One request of a caller.

    :param target: index of the entry VM that the request was sent to.
    :param due_at: monotonic time at which the request was due.
    :param ended_at: monotonic time at which it ended, None if it never did.
    :param status: HTTP status, 0 without an answer.
    :param code: result code of an answer made by briarspoke, 0 otherwise.
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
        """Whether the backend server's answer arrived."""
        return self.status == 200 and not self.code

    def partition(self, count):
        """Returns the partition of the key out of ``count`` partitions."""
        return partition_of(f"key-{self.key}", count)


class Callers:
    """Callers that send lookups at a fixed rate until they are stopped.

    :param parts: the :class:`Parts` that starts and stops their process.
    :param ports: list of (host, port) of the entry VMs, used in rotation.
    """

    def __init__(self, parts, *, service, keys, rate, ports):
        self._part = parts.start(
            "callers", service=service, keys=keys, rate=rate, ports=ports
        )
        self._part.ask(start=True)

    def stop(self):
        """Stops sending, waits for pending requests and returns all records.

        :returns: list of :class:`CallRecord`.
        """
        return _records_of(self._part.ask(stop=True))


def _records_of(answer):
    """Returns the list of :class:`CallRecord` in the answer of a callers part."""
    return [CallRecord(*values) for values in answer["records"]]


def share_ok(records):
    """Returns the share of answered requests, or None without requests."""
    return sum(r.ok for r in records) / len(records) if records else None


def between(records, begin, end):
    """Returns the records due from ``begin`` up to, not including, ``end``."""
    return [r for r in records if begin <= r.due_at < end]


def count_by_code(records):
    """Returns the number of failed requests by result code.

    Requests that ended without an answer count under code 0.
    """
    counts = {}
    for record in records:
        if not record.ok:
            counts[record.code] = counts.get(record.code, 0) + 1
    return {str(code): count for code, count in sorted(counts.items())}
