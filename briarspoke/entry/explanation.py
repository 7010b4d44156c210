"""Finds the log lines that explain one request."""

from __future__ import annotations

import re

# Lines of this long before the request's end may have decided it.
CONTEXT_S = 10.0
# What a process believes, as opposed to what it did with one request.
CONTEXT_PARTS = frozenset({"store", "configuration", "control", "keys", "servers"})

_LINE = re.compile(
    r"(\d{4}-\d\d-\d\dT(\d\d):(\d\d):(\d\d\.\d+)Z) (\w+) ([a-z]+): ([^=]*?)"
    r"((?: [a-z_]+=(?:'[^']*'|\"[^\"]*\"|\S*))*)$"
)
_FIELD = re.compile(r"([a-z_]+)=('[^']*'|\"[^\"]*\"|\S*)")


class LogLine:
    """One parsed line.

    :param second_of_day: seconds of the day.
    :param fields: ``{name: text}``.
    """

    __slots__ = ("event", "fields", "part", "second_of_day", "source", "text")

    def __init__(self, *, second_of_day, part, event, fields, source, text):
        self.second_of_day = second_of_day
        self.part = part
        self.event = event
        self.fields = fields
        self.source = source
        self.text = text

    @property
    def name(self):
        """Part and event, as in the table of the documentation."""
        return f"{self.part}: {self.event}"


def parse(text, source=""):
    """Returns the :class:`LogLine` of a line, or None if it is not one.

    Whatever stands before the time, such as the name of a process, is passed over.
    """
    match = _LINE.search(text.rstrip())
    if match is None:
        return None
    _, hours, minutes, seconds, _, part, event, rest = match.groups()
    fields = {name: value.strip("'\"") for name, value in _FIELD.findall(rest)}
    return LogLine(
        second_of_day=int(hours) * 3600 + int(minutes) * 60 + float(seconds),
        part=part,
        event=event.strip(),
        fields=fields,
        source=source or text[: match.start()].strip(),
        text=text[match.start() :].rstrip(),
    )


class Explanation:
    """Lines about one request and what its process believed.

    :param lines: the request's own lines in order of time.
    :param context: lines of the time before that may have decided it.
    :param unreadable: number of lines that could not be parsed.
    """

    __slots__ = ("context", "lines", "unreadable")

    def __init__(self, *, lines, context, unreadable):
        self.lines = lines
        self.context = context
        self.unreadable = unreadable


def find(request_id, sources):
    """Returns the :class:`Explanation` of a request.

    :param sources: ``{name: iterable of lines}``, one for each process or file.
    """
    parsed = []
    unreadable = 0
    for source, lines in sources.items():
        for text in lines:
            line = parse(text, source)
            if line is not None:
                parsed.append(line)
            elif text.strip():
                unreadable += 1
    own = [
        line
        for line in parsed
        if line.part == "requests" and line.fields.get("id") == request_id
    ]
    own.sort(key=lambda line: line.second_of_day)
    context = [line for line in parsed if own and _matters(line, own)]
    context.sort(key=lambda line: line.second_of_day)
    return Explanation(lines=own, context=context, unreadable=unreadable)


def _matters(line, own):
    if line.part not in CONTEXT_PARTS:
        return False
    if (
        not own[-1].second_of_day - CONTEXT_S
        <= line.second_of_day
        <= own[-1].second_of_day
    ):
        return False
    if line.part == "keys":
        return _is_about_key(line, own[-1])
    if line.part == "servers":
        servers = {request.fields.get("server") for request in own}
        return line.fields.get("id") in servers
    return line.source in {request.source for request in own}


def _is_about_key(line, request):
    if line.fields.get("service") != request.fields.get("service"):
        return False
    key, keys = request.fields.get("key", "-"), line.fields.get("keys")
    if keys is None or not key.isdigit():
        return True
    first, _, last = keys.partition("-")
    return int(first) <= int(key) <= int(last)
