"""The settings of an entry VM's process, read from a JSON file."""

from __future__ import annotations

import ipaddress

from briarspoke import codes, schema
from briarspoke.configuration.resources import ADDRESS_PATTERN, NAME_PATTERN
from briarspoke.errors import UserError

MIN_KEY_LENGTH = 16
MAX_PORT = 65535
LISTEN_OPTIONS = (
    "caller_listen",
    "peer_listen",
    "forward_listen",
    "admin_listen",
    "metrics_listen",
)

ADDRESS_TAKEN = codes.register(
    8006,
    "address-taken",
    codes.Kind.CALLER_ERROR,
    422,
    "Two listening ports of the process have the same address.",
)
TOKEN_TAKEN = codes.register(
    8007,
    "token-taken",
    codes.Kind.CALLER_ERROR,
    422,
    "Two operators have the same token.",
)


class InvalidValuesError(UserError):
    """A JSON document contains invalid values.

    :param problems: list of :class:`briarspoke.schema.Problem`.
    """

    def __init__(self, source, problems):
        lines = "\n".join(f"  {problem}" for problem in problems)
        super().__init__(f"{source} has {len(problems)} problem(s):\n{lines}")
        self.problems = problems


class Settings:
    """Validated settings, with one attribute for each option of :data:`SCHEMA`."""

    __slots__ = (
        "admin_listen",
        "advertise",
        "caller_listen",
        "cluster_key",
        "forward_listen",
        "log_level",
        "metrics_listen",
        "node",
        "operators",
        "peer_listen",
        "peers",
        "shutdown_s",
        "store_url",
        "zone",
    )

    def __init__(self, **options):
        for name in self.__slots__:
            setattr(self, name, options[name])


def _address_option(help, **kwargs):
    return schema.Text(pattern=ADDRESS_PATTERN, help=help, **kwargs)


SCHEMA = schema.Section(
    {
        "node": schema.Text(pattern=NAME_PATTERN, help="Unique name of the entry VM."),
        "zone": schema.Text(
            pattern=NAME_PATTERN, help="Availability zone of the entry VM."
        ),
        "caller_listen": _address_option(
            "IP address and port for callers.", default="127.0.0.1:8080"
        ),
        "peer_listen": _address_option(
            "IP address and port for links from other entry VMs.",
            default="127.0.0.1:8081",
        ),
        "forward_listen": _address_option(
            "IP address and port for requests that other entry VMs forward.",
            default="127.0.0.1:8084",
        ),
        "admin_listen": _address_option(
            "IP address and port of the operators' API.", default="127.0.0.1:8082"
        ),
        "metrics_listen": _address_option(
            "IP address and port of the metrics.", default="127.0.0.1:8083"
        ),
        "advertise": schema.Nullable(
            _address_option(
                "Link address that other entry VMs use; null stands for peer_listen."
            )
        ),
        "store_url": schema.Text(
            pattern="https?://[^ ]+", help="URL of the platform's key-value service."
        ),
        "peers": schema.ListOf(
            _address_option("Link address of an entry VM."),
            default=list,
            max_items=1000,
            help="Link addresses that are contacted first to find other entry VMs.",
        ),
        "cluster_key": schema.Text(
            pattern=f"(?s).{{{MIN_KEY_LENGTH},}}",
            secret=True,
            help="Secret shared by all entry VMs, at least 16 characters.",
        ),
        "operators": schema.MapOf(
            schema.Section(
                {
                    "token": schema.Text(
                        pattern=f"[!-~]{{{MIN_KEY_LENGTH},}}",
                        secret=True,
                        help="Bearer token, at least 16 characters.",
                    ),
                    "role": schema.Choice(
                        ("reader", "writer"), help="Permissions of the operator."
                    ),
                }
            ),
            key_pattern=NAME_PATTERN,
            default=dict,
            help="Operators of the resource API, by name.",
        ),
        "shutdown_s": schema.Number(
            minimum=0,
            maximum=3600,
            default=60,
            help="Longest time for requests in flight after SIGTERM, in seconds.",
        ),
        "log_level": schema.Choice(
            ("debug", "info", "warning", "error"),
            default="info",
            help="Lowest severity that is logged.",
        ),
    },
    build=Settings,
)


def from_json(value, source="settings"):
    """Returns the :class:`Settings` of a JSON object.

    :param source: name of the object in the error message, such as a path.
    :raises InvalidValuesError: with every problem of the object.
    """
    problems = problems_of(value)
    if problems:
        raise InvalidValuesError(source, problems)
    return SCHEMA.check(value, "$", problems)


def problems_of(value):
    """Returns every problem of a JSON object, including checks across options."""
    problems = []
    settings = SCHEMA.check(value, "$", problems)
    if not problems:
        _check_addresses(settings, problems)
        _check_tokens(settings, problems)
    return problems


def _check_addresses(settings, problems):
    first_by_address = {}
    for name in LISTEN_OPTIONS:
        address = getattr(settings, name)
        host, _, port = address.rpartition(":")
        if int(port) > MAX_PORT:
            message = f"has a port above {MAX_PORT}"
            problems.append(_option_problem(name, schema.OPTION_RANGE, message))
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            message = "has no valid IP address"
            problems.append(_option_problem(name, schema.OPTION_FORMAT, message))
        # Port 0 makes the kernel choose a free port for each listener.
        first = first_by_address.setdefault(address, name)
        if first != name and int(port) != 0:
            problems.append(
                _option_problem(name, ADDRESS_TAKEN, f"is also the value of $.{first}")
            )


def _check_tokens(settings, problems):
    first_by_token = {}
    for name, operator in settings.operators.items():
        first = first_by_token.setdefault(operator["token"], name)
        if first != name:
            message = f"is also the token of $.operators.{first}"
            path = f"operators.{name}.token"
            problems.append(_option_problem(path, TOKEN_TAKEN, message))


def _option_problem(name, code, message):
    return schema.Problem(path=f"$.{name}", code=code, message=message)


def load(path):
    """Returns the :class:`Settings` of a file.

    :raises UserError: if the file cannot be read or is not valid.
    """
    return from_json(read_json(path), source=str(path))


def read_json(path):
    """Returns the JSON value of a file.

    :raises UserError: if the file cannot be read or is not JSON.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return schema.parse_json(file.read())
    except OSError as error:
        raise UserError(f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise UserError(f"{path} is not JSON: {error}") from error
