"""Settings of an entry VM on the platform, read from JSON."""

from __future__ import annotations

import ipaddress

from briarspoke import durations, schema
from briarspoke.configuration.resources import NAME_PATTERN
from briarspoke.settings import InvalidValuesError, read_json

MAX_PORT = 65535


class Address:
    """An IPv4 address with a port."""

    __slots__ = ("host", "port")

    def __init__(self, *, host, port):
        self.host = host
        self.port = port

    def __str__(self):
        return f"{self.host}:{self.port}"


class EntrySettings:
    """Checked settings; one attribute per option of :data:`SCHEMA`."""

    __slots__ = (
        "caller_listen",
        "cold_ratio",
        "cold_slack",
        "drain_s",
        "evacuation_s",
        "grace_s",
        "hedge_share",
        "internal_port",
        "ip",
        "link_mbps",
        "log_level",
        "max_hold_s",
        "memory_mb",
        "metrics_port",
        "never_held_back",
        "node",
        "ready_listen",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "store",
        "zone",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


class SocketAddress(schema.Option):
    """An option of the form ``IP:PORT``, decoded to an :class:`Address`."""

    def check(self, value, path, problems):
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        try:
            ipaddress.IPv4Address(host)
            valid = 0 < int(port) <= MAX_PORT
        except ValueError:
            valid = False
        if valid:
            return Address(host=host, port=int(port))
        problems.append(
            schema.Problem(
                path=path,
                code=schema.OPTION_FORMAT,
                message="must have the form IP:PORT",
            )
        )
        return None

    def json_schema(self):
        return {"type": "string"}


class Duration(schema.Text):
    """An option such as ``1500ms`` or ``2.5s``, decoded to seconds."""

    def __init__(self, **kwargs):
        super().__init__(pattern=durations.PATTERN, max_length=20, **kwargs)

    def check(self, value, path, problems):
        problem_count = len(problems)
        text = super().check(value, path, problems)
        if len(problems) > problem_count:
            return None
        return durations.parse(text)


SCHEMA = schema.Section(
    {
        "node": schema.Text(pattern=NAME_PATTERN, help="Name of this entry VM."),
        "zone": schema.Text(
            pattern=NAME_PATTERN, help="Availability zone of this entry VM."
        ),
        "ip": schema.Text(help="IP address of this entry VM."),
        "caller_listen": SocketAddress(help="Address on which callers connect."),
        "ready_listen": SocketAddress(
            help="Address of the load balancer's readiness check."
        ),
        "internal_port": schema.Integer(
            minimum=1,
            maximum=MAX_PORT,
            help="TCP port of the relay, and UDP port of load reports and owners.",
        ),
        "metrics_port": schema.Integer(
            minimum=1, maximum=MAX_PORT, help="TCP port of the metrics page."
        ),
        "link_mbps": schema.Number(
            minimum=0,
            default=0,
            help="Bandwidth in Mbit/s; the VM of a zone with the highest is its relay.",
        ),
        "memory_mb": schema.Integer(
            minimum=64,
            default=300,
            help="Memory of the process in MB; bodies may use fixed shares of it.",
        ),
        "store": SocketAddress(help="Address of the platform's key-value store."),
        "drain_s": Duration(help="How long a draining server may still get requests."),
        "grace_s": Duration(help="Time from SIGTERM to SIGKILL."),
        "max_hold_s": Duration(help="Longest duration of a grant that servers accept."),
        "retry_ratio": schema.Number(
            minimum=0, maximum=1, help="Retries allowed per request of a service."
        ),
        "retry_slack": schema.Integer(
            minimum=0, help="Retries allowed in addition, for all entry VMs together."
        ),
        "retry_window_s": Duration(
            help="Length of the sliding window of the retry budget."
        ),
        "evacuation_s": Duration(
            default=None,
            help="Time after which servers of an evacuated zone get no requests; the "
            "drain time if absent.",
        ),
        "cold_ratio": schema.Number(
            minimum=1,
            default=1,
            help="Requests that a cold server may get in one second, per request of "
            "the rate that its service tolerates.",
        ),
        "cold_slack": schema.Integer(
            minimum=0,
            default=0,
            help="Requests that a cold server may get in one second in addition.",
        ),
        "hedge_share": schema.Number(
            minimum=0,
            maximum=0.2,
            default=0,
            help="Second copies of slow requests that may be repeated, per request "
            "of a service; 0 sends none.",
        ),
        "never_held_back": schema.ListOf(
            schema.Text(pattern="all|[0-9a-f]{32}"),
            default=(),
            help="Fingerprints of requests that are sent although servers ended while "
            "they ran them, or ``all``.",
        ),
        "log_level": schema.Choice(
            ("debug", "info", "warning", "error"),
            default="info",
            help="Lowest level that is logged.",
        ),
    },
    build=EntrySettings,
)


def parse(value, source):
    """Checks a JSON value and returns its :class:`EntrySettings`.

    :param source: name of the file, for the error message.
    :raises InvalidValuesError: with every problem of the value.
    """
    problems = []
    settings = SCHEMA.check(value, "$", problems)
    if problems:
        raise InvalidValuesError(source, problems)
    return settings


def load(path):
    """Reads settings from a file.

    :raises UserError: if the file cannot be read or has problems.
    """
    return parse(read_json(path), path)
