"""Finds the log lines that explain the result of one request."""

from __future__ import annotations

import re

# Lines that were written within this time before the request ended are its context.
CONTEXT_S = 10.0
# Prefixes of lines about the state of a process, as opposed to a single request.
CONTEXT_PREFIXES = frozenset(
    {
        "configuration",
        "control",
        "crashes",
        "evacuations",
        "keys",
        "servers",
        "store",
    }
)

_LINE = re.compile(
    r"(\d{4}-\d\d-\d\dT(\d\d):(\d\d):(\d\d\.\d+)Z) (\w+) ([a-z]+): ([^=]*?)"
    r"((?: [a-z_]+=(?:'[^']*'|\"[^\"]*\"|\S*))*)$"
)
_FIELD = re.compile(r"([a-z_]+)=('[^']*'|\"[^\"]*\"|\S*)")


class LogLine:
    """One parsed log line.

    :param second_of_day: time of the line in seconds since midnight UTC.
    :param fields: ``{name: text}``.
    :param source: name of the process or file that the line comes from.
    :param text: the line from its time on.
    """

    __slots__ = ("event", "fields", "prefix", "second_of_day", "source", "text")

    def __init__(self, *, second_of_day, prefix, event, fields, source, text):
        self.second_of_day = second_of_day
        self.prefix = prefix
        self.event = event
        self.fields = fields
        self.source = source
        self.text = text

    @property
    def name(self):
        """Prefix and event, as in the table of events in the documentation."""
        return f"{self.prefix}: {self.event}"


def parse(text, source=""):
    """Parses a log line.

    Text before the time, such as the name of a process, is ignored; it becomes the
    source if none is given.

    :returns: a :class:`LogLine`, or None if the text is not a log line.
    """
    match = _LINE.search(text.rstrip())
    if match is None:
        return None
    _, hours, minutes, seconds, _, prefix, event, rest = match.groups()
    fields = {name: value.strip("'\"") for name, value in _FIELD.findall(rest)}
    return LogLine(
        second_of_day=int(hours) * 3600 + int(minutes) * 60 + float(seconds),
        prefix=prefix,
        event=event.strip(),
        fields=fields,
        source=source or text[: match.start()].strip(),
        text=text[match.start() :].rstrip(),
    )


class Explanation:
    """Log lines about one request and about the state of its process.

    :param lines: the lines with the request's identifier, in order of time.
    :param context: earlier lines about state that the result may depend on, in order of
        time.
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
    request_lines = [
        line
        for line in parsed
        if line.prefix == "requests" and line.fields.get("id") == request_id
    ]
    request_lines.sort(key=lambda line: line.second_of_day)
    context = [
        line for line in parsed if request_lines and _is_relevant(line, request_lines)
    ]
    context.sort(key=lambda line: line.second_of_day)
    return Explanation(lines=request_lines, context=context, unreadable=unreadable)


def _is_relevant(line, request_lines):
    if line.prefix not in CONTEXT_PREFIXES:
        return False
    age_s = request_lines[-1].second_of_day - line.second_of_day
    if line.prefix == "servers" and line.event.startswith(
        ("limit", "pause", "leaving")
    ):
        # These hold until a line says that they have ended.
        is_of_service = line.fields.get("service") == request_lines[-1].fields.get(
            "service"
        )
        return is_of_service and age_s >= 0
    if line.prefix == "crashes" and "fingerprint" in line.fields:
        # A request is held back until a line says that it was cleared.
        fingerprints = {request.fields.get("fingerprint") for request in request_lines}
        return line.fields["fingerprint"] in fingerprints and age_s >= 0
    if line.prefix == "evacuations":
        # A zone is evacuated until a line says that it has ended.
        is_own = line.source in {request.source for request in request_lines}
        return is_own and age_s >= 0
    if not 0 <= age_s <= CONTEXT_S:
        return False
    if line.prefix == "keys":
        return _is_about_key(line, request_lines[-1])
    if line.prefix in ("crashes", "servers"):
        servers = {request.fields.get("server") for request in request_lines}
        return line.fields.get("id") in servers
    return line.source in {request.source for request in request_lines}


def _is_about_key(line, request):
    if line.fields.get("service") != request.fields.get("service"):
        return False
    key, keys = request.fields.get("key", "-"), line.fields.get("keys")
    if keys is None or not key.isdigit():
        return True
    first, _, last = keys.partition("-")
    return int(first) <= int(key) <= int(last)
