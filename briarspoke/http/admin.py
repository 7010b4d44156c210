"""HTTP API for operators."""

from __future__ import annotations

import hmac
import http
import io
import json
import logging
import os
import re
from urllib.parse import unquote

from twisted.internet import defer
from twisted.web import resource, server
from twisted.web.http import HTTPChannel

from briarspoke.codes import (
    HEAD_TOO_LARGE,
    INTERNAL_ERROR,
    MALFORMED_REQUEST,
    NOT_READY,
)
from briarspoke.configuration import codes
from briarspoke.configuration.changes import (
    ANY_VERSION,
    Change,
    Delete,
    Put,
    parse_deletes,
    parse_puts,
)
from briarspoke.configuration.resources import classes_by_kind
from briarspoke.configuration.writer import Status
from briarspoke.errors import CodedError
from briarspoke.http.admin_watch import Watches
from briarspoke.schema import parse_json

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 4_000_000
# A body beyond MAX_BODY_BYTES is read and discarded up to this size, so that the
# connection stays usable; a larger one closes the connection.
MAX_DISCARDED_BODY_BYTES = 16_000_000
MAX_HEAD_BYTES = 16_384
IDLE_TIMEOUT_S = 60
MAX_VERSION = 2**53
WRITE_ID_PATTERN = "[A-Za-z0-9._-]{1,64}"
_ETAG_PATTERN = r'(?:W/)?"(\d{1,16})"'
_STATUS_VIEWS = ("nodes", "ownership", "refusals")

_routes = []


def _route(method, pattern, *, role="reader"):
    """Registers a method of :class:`AdminApi` as the handler of a path pattern.

    :param role: role that the operator needs, or None if no token is needed.
    """

    def decorate(function):
        _routes.append(
            _Route(
                method=method,
                pattern=re.compile(pattern),
                role=role,
                function=function,
            )
        )
        return function

    return decorate


class _Route:
    __slots__ = ("function", "method", "pattern", "role")

    def __init__(self, *, method, pattern, role, function):
        self.method = method
        self.pattern = pattern
        self.role = role
        self.function = function


class ApiError(CodedError):
    """An error that is returned to the operator as the JSON answer of a call.

    :param fields: additional members of the JSON answer.
    """

    def __init__(self, code, detail="", **fields):
        super().__init__(code, detail)
        self.fields = fields


class Call:
    """A call to the API.

    :param operator: name of the authenticated operator, or None.
    """

    __slots__ = ("body", "operator", "request")

    def __init__(self, *, request, body, operator):
        self.request = request
        self.body = body
        self.operator = operator

    def header(self, name):
        """Returns a request header, or None."""
        return self.request.getHeader(name)

    def query_parameter(self, name):
        """Returns the last value of a query parameter, or None."""
        values = self.request.args.get(name.encode())
        return values[-1].decode("utf-8", "replace") if values else None

    def query_flag(self, name):
        """Returns whether a query parameter is 1.

        :raises ApiError: if it is neither 0 nor 1.
        """
        value = self.query_parameter(name)
        if value not in (None, "0", "1"):
            raise ApiError(codes.BAD_PARAMETER, f"{name} is neither 0 nor 1")
        return value == "1"

    def query_version(self, name):
        """Returns a configuration version from the query, or None.

        :raises ApiError: if the value is not a version.
        """
        value = self.query_parameter(name)
        if value is None:
            return None
        is_number = value.isascii() and value.isdigit() and len(value) <= 16
        if not is_number or int(value) > MAX_VERSION:
            raise ApiError(codes.BAD_PARAMETER, f"{name} is not a version")
        return int(value)

    def json(self):
        """Returns the body, parsed as a JSON object.

        :raises ApiError: if the body is too large or not a JSON object.
        """
        if self.body is None:
            raise ApiError(
                codes.CALL_BODY_TOO_LARGE, f"more than {MAX_BODY_BYTES} bytes"
            )
        try:
            value = parse_json(self.body)
        except ValueError as error:
            raise ApiError(codes.CALL_BODY_MALFORMED, "the body is not JSON") from error
        if not isinstance(value, dict):
            raise ApiError(codes.CALL_BODY_MALFORMED, "the body is not a JSON object")
        return value

    def write_id(self):
        """Returns the write identifier of the request, or a new one."""
        write_id = self.header("Briarspoke-Write-Id")
        if write_id is None:
            return f"w-{os.urandom(9).hex()}"
        if not re.fullmatch(WRITE_ID_PATTERN, write_id):
            message = f"Briarspoke-Write-Id does not match {WRITE_ID_PATTERN}"
            raise ApiError(codes.BAD_PARAMETER, message)
        return write_id

    def expected_version(self):
        """Returns the version that ``If-Match`` or ``If-None-Match`` requires.

        :returns: 0 if the resource must not exist, None if no header is present.
        """
        match, none_match = self.header("If-Match"), self.header("If-None-Match")
        if match is not None and none_match is not None:
            raise ApiError(
                codes.BAD_PARAMETER, "If-Match and If-None-Match cannot be combined"
            )
        if none_match is not None:
            if none_match != "*":
                raise ApiError(codes.BAD_PARAMETER, "If-None-Match is not *")
            return 0
        if match is None:
            return None
        return ANY_VERSION if match == "*" else _parse_etag(match)


class AdminApi(resource.Resource):
    """The API as a ``twisted.web`` resource.

    :param operators: ``{name: {"token", "role"}}`` of the settings.
    :param writer: the :class:`ConfigurationWriter`.
    :param active_configuration: the :class:`ActiveConfiguration` that reads are
        served from.
    :param status: a :class:`briarspoke.http.admin_status.NodeStatus`.
    :param count_error: function that counts an error by the number of its result
        code, or None.
    """

    isLeaf = True

    def __init__(
        self,
        *,
        reactor,
        operators,
        writer,
        active_configuration,
        status,
        count_error=None,
    ):
        super().__init__()
        self.writer = writer
        self.active_configuration = active_configuration
        self.status = status
        self.watches = Watches(
            reactor=reactor, active_configuration=active_configuration
        )
        self.count_error = count_error or (lambda number: None)
        self._operators = [
            (name, operator["token"].encode(), operator["role"])
            for name, operator in operators.items()
        ]

    def render(self, request):
        """Handles a call and answers it asynchronously."""
        deferred = defer.maybeDeferred(self._handle, request)
        deferred.addErrback(lambda failure: self._reply_error(request, failure.value))
        return server.NOT_DONE_YET

    @defer.inlineCallbacks
    def _handle(self, request):
        route, arguments, error = _find_route(request)
        operator = self._authenticate(request, route)
        if error is not None:
            raise ApiError(error)
        call = Call(request=request, body=request.body(), operator=operator)
        if call.body is None:
            call.json()
        answer = yield route.function(self, call, *arguments)
        if answer is not None:
            self._reply(request, 200, answer)

    def _authenticate(self, request, route):
        if route is not None and route.role is None:
            return None
        name, role = self._find_operator(request.getHeader("Authorization") or "")
        if name is None:
            raise ApiError(codes.UNAUTHENTICATED)
        if route is not None and route.role == "writer" and role != "writer":
            raise ApiError(codes.ROLE_REQUIRED, "the call needs the role writer")
        return name

    def _find_operator(self, header):
        scheme, _, token = header.partition(" ")
        found = None, None
        # Comparing all tokens, each in constant time, keeps the response time from
        # revealing a partial match.
        for name, operator_token, role in self._operators:
            is_equal = hmac.compare_digest(
                token.strip().encode("utf-8", "surrogateescape"), operator_token
            )
            if is_equal and scheme.lower() == "bearer":
                found = name, role
        return found

    def _reply(self, request, status, value, *, etag=None):
        if request.is_disconnected:
            return
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(b"Cache-Control", b"no-store")
        if etag is not None:
            request.setHeader(b"ETag", f'"{etag}"'.encode())
        version = self.active_configuration.document.version
        request.setHeader("Briarspoke-Configuration-Version", str(version))
        value = {"configuration_version": version, **value}
        request.write(json.dumps(value).encode() + b"\n")
        request.finish()

    def _reply_error(self, request, error):
        if not isinstance(error, CodedError):
            log.error("admin: unexpected error in a call", exc_info=error)
            error = ApiError(INTERNAL_ERROR)
        self.count_error(error.code.number)
        code = error.code
        if not request.is_disconnected:
            request.setHeader("Briarspoke-Code", str(code.number))
            request.setHeader("Briarspoke-Class", code.kind.value)
            if code is codes.UNAUTHENTICATED:
                request.setHeader(b"WWW-Authenticate", b"Bearer")
        value = error_json(code, error.detail) | getattr(error, "fields", {})
        self._reply(request, code.http_status, value)

    @_route("GET", "/v1/healthz", role=None)
    def _healthz(self, call):
        return {"status": "alive"}

    @_route("GET", "/v1/readyz", role=None)
    def _readyz(self, call):
        if not self.status.ready():
            raise ApiError(NOT_READY)
        return {"status": "ready"}

    @_route("GET", "/v1/watch")
    def _watch(self, call):
        from_version = call.query_version("from") or 0
        if self.watches.is_full:
            raise ApiError(codes.TOO_MANY_WATCHES)
        version = str(self.active_configuration.document.version)
        call.request.setHeader("Briarspoke-Configuration-Version", version)
        self.watches.start(call.request, from_version)

    @_route("GET", "/v1/status/([a-z]+)")
    def _status(self, call, view):
        if view not in _STATUS_VIEWS:
            raise ApiError(codes.UNKNOWN_PATH)
        answer = {view: getattr(self.status, view)()}
        if view == "nodes":
            answer["zones"] = self.status.zones()
        return answer

    @_route("GET", "/v1/configuration")
    def _configuration(self, call):
        document = self.active_configuration.document
        return {"version": document.version, "resources": document.as_json()}

    @_route("GET", f"/v1/writes/({WRITE_ID_PATTERN})")
    @defer.inlineCallbacks
    def _write(self, call, write_id):
        base_version = call.query_version("base")
        state, version = yield self.writer.find_write(write_id, base_version)
        return {"write_id": write_id, "status": state.value, "version": version}

    @_route("GET", "/v1/([a-z]+)")
    def _list(self, call, kind):
        _check_kind(kind)
        entries = self.active_configuration.document.entries_of(kind)
        return {
            "kind": kind,
            "items": [
                {"version": entry.changed_at, "resource": entry.value}
                for entry in entries
            ],
        }

    @_route("GET", "/v1/([a-z]+)/([^/]+)")
    def _get(self, call, kind, name):
        _check_kind(kind)
        entry = self.active_configuration.document.entry(kind, name)
        if entry is None:
            raise ApiError(codes.RESOURCE_NOT_FOUND, f"{kind} has no such resource")
        value = {"version": entry.changed_at, "resource": entry.value}
        self._reply(call.request, 200, value, etag=entry.changed_at)

    @_route("PUT", "/v1/([a-z]+)/([^/]+)", role="writer")
    def _put(self, call, kind, name):
        _check_kind(kind)
        put = Put(kind=kind, name=name, value=call.json())
        change = Change(
            write_id=call.write_id(),
            puts=[put],
            expected=_expected_versions(call, kind, name),
        )
        return self._submit(
            call, change, f"put {kind}/{_escape_for_log(name)}", key=(kind, name)
        )

    @_route("DELETE", "/v1/([a-z]+)/([^/]+)", role="writer")
    def _delete(self, call, kind, name):
        _check_kind(kind)
        change = Change(
            write_id=call.write_id(),
            deletes=[Delete(kind=kind, name=name)],
            expected=_expected_versions(call, kind, name),
        )
        return self._submit(call, change, f"delete {kind}/{_escape_for_log(name)}")

    @_route("POST", "/v1/apply", role="writer")
    def _apply(self, call):
        change = parse_change(call.json(), call.write_id())
        return self._submit(
            call,
            change,
            f"apply {len(change.puts)} puts, {len(change.deletes)} deletes"
            + (", replacing all" if change.replace else ""),
        )

    @defer.inlineCallbacks
    def _submit(self, call, change, action, key=None):
        dry_run = call.query_flag("dry_run")
        force = call.query_flag("force")
        result = yield self.writer.submit(
            change,
            dry_run=dry_run,
            partitions_owned=None if force else self.status.partitions_owned,
        )
        log.info(
            "admin: operator %s: %s%s%s, write %s %s at version %d",
            call.operator,
            action,
            " (dry run)" if dry_run else "",
            " (forced)" if force else "",
            result.write_id,
            result.status.value,
            result.version,
        )
        fields = _result_json(result, dry_run)
        if result.status is not Status.ACCEPTED:
            code = result.code
            if [p.code for p in result.problems] == [codes.RESOURCE_NOT_FOUND]:
                code = codes.RESOURCE_NOT_FOUND
            raise ApiError(code, result.detail, **fields)
        etag = None
        if key is not None and not dry_run:
            etag = result.document.changed_at(*key)
        self._reply(call.request, 200, fields, etag=etag)


def error_json(code, detail):
    """Returns the JSON object of an error."""
    return {
        "code": code.number,
        "name": code.name,
        "class": code.kind.value,
        "detail": detail,
    }


def parse_change(value, write_id):
    """Returns the :class:`Change` that a body of ``POST /v1/apply`` describes.

    :raises ApiError: if the body is malformed.
    """
    problems = []
    known_members = {"resources", "delete", "replace", "expected_version", "expected"}
    for name in value:
        if name not in known_members:
            raise ApiError(
                codes.CALL_BODY_MALFORMED, f"{name[:40]!r} is not a known member"
            )
    replace = value.get("replace", False)
    if not isinstance(replace, bool):
        raise ApiError(codes.CALL_BODY_MALFORMED, "replace is not true or false")
    puts = parse_puts(value.get("resources", {}), "$.resources", problems)
    deletes = parse_deletes(value.get("delete", {}), "$.delete", problems)
    if problems:
        raise ApiError(
            codes.CALL_BODY_MALFORMED,
            f"{len(problems)} problem(s)",
            problems=[problem.as_json() for problem in problems],
        )
    return Change(
        write_id=write_id,
        puts=puts,
        deletes=deletes,
        replace=replace,
        expected=_parse_expected(value.get("expected", {})),
        expected_version=_parse_version(
            value.get("expected_version"), "expected_version"
        ),
    )


def _parse_expected(value):
    if not isinstance(value, dict):
        raise ApiError(codes.CALL_BODY_MALFORMED, "expected is not an object")
    expected = {}
    for path, version in value.items():
        kind, _, name = path.partition("/")
        if kind not in classes_by_kind or not name:
            raise ApiError(
                codes.CALL_BODY_MALFORMED, "a key of expected is not kind/name"
            )
        if version is None:
            raise ApiError(codes.CALL_BODY_MALFORMED, "a version in expected is null")
        expected[kind, name] = _parse_version(version, "expected")
    return expected


def _parse_version(value, name):
    if value is None:
        return None
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= MAX_VERSION:
        raise ApiError(codes.CALL_BODY_MALFORMED, f"{name} is not a version")
    return value


def _expected_versions(call, kind, name):
    version = call.expected_version()
    return {} if version is None else {(kind, name): version}


def _parse_etag(value):
    match = re.fullmatch(_ETAG_PATTERN, value)
    if match is None:
        raise ApiError(codes.BAD_PARAMETER, "If-Match is not an ETag of this API")
    return int(match[1])


def _escape_for_log(name):
    # The name comes from the path unchecked, and a line break in it could forge a
    # log line.
    return ascii(name[:63])[1:-1]


def _check_kind(kind):
    if kind not in classes_by_kind:
        raise ApiError(codes.UNKNOWN_PATH)


def _result_json(result, dry_run):
    fields = {
        "status": result.status.value,
        "write_id": result.write_id,
        "version": result.version,
        "dry_run": dry_run,
        "changes": [difference.as_json() for difference in result.differences],
    }
    if result.problems:
        fields["problems"] = [problem.as_json() for problem in result.problems]
    if result.conflicts:
        fields["conflicts"] = [conflict.as_json() for conflict in result.conflicts]
    if result.status is Status.UNKNOWN:
        fields["base_version"] = result.base_version
        fields["resolve"] = f"/v1/writes/{result.write_id}?base={result.base_version}"
    return fields


def _find_route(request):
    """Returns (route, path arguments, code of an error or None).

    The error is returned because it must not be raised before authentication:
    unauthenticated clients would learn which paths exist.
    """
    path = request.path.decode("utf-8", "replace")
    method = request.method.decode("ascii", "replace")
    error = codes.UNKNOWN_PATH
    for route in _routes:
        match = route.pattern.fullmatch(path)
        if match is None:
            continue
        if method == route.method:
            arguments = tuple(unquote(group) for group in match.groups())
            return route, arguments, None
        error = codes.METHOD_NOT_ALLOWED
    return None, (), error


class AdminRequest(server.Request):
    """A request whose body is kept in memory, up to ``MAX_BODY_BYTES``.

    By default, ``twisted.web`` writes large bodies to a temporary file, but entry
    VMs have no disks.
    """

    _body_size = 0
    is_disconnected = False

    def gotLength(self, length):
        """Prepares to receive a body.

        :param length: declared length in bytes, or None if the body is chunked.
        """
        self.content = io.BytesIO()
        self._body_size = 0
        if length is not None and length > MAX_DISCARDED_BODY_BYTES:
            self._refuse_body()

    def handleContentChunk(self, data):
        """Stores a part of the body and discards what exceeds the limit."""
        self._body_size += len(data)
        if self._body_size <= MAX_BODY_BYTES:
            self.content.write(data)
        elif self._body_size > MAX_DISCARDED_BODY_BYTES:
            self._refuse_body()

    def process(self):
        """Handles the request after its body has been received."""
        self.notifyFinish().addErrback(self._on_disconnect)
        super().process()

    def body(self):
        """Returns the body, or None if it is too large."""
        if self._body_size > MAX_BODY_BYTES:
            return None
        self.content.seek(0)
        return self.content.read()

    def _on_disconnect(self, _):
        self.is_disconnected = True

    def _refuse_body(self):
        self.channel.refuse(
            codes.CALL_BODY_TOO_LARGE, f"more than {MAX_BODY_BYTES} bytes"
        )


class AdminChannel(HTTPChannel):
    """A connection that also answers malformed HTTP with errors in JSON."""

    requestFactory = AdminRequest
    totalHeadersSize = MAX_HEAD_BYTES
    timeOut = IDLE_TIMEOUT_S

    def __init__(self, site):
        super().__init__()
        self.site = site
        self.factory = site
        self.callLater = site.api.watches.reactor.callLater

    def refuse(self, code, detail=""):
        """Answers with an error and closes the connection."""
        self.site.api.count_error(code.number)
        version = self.site.api.active_configuration.document.version
        body = json.dumps(
            {
                "configuration_version": version,
                **error_json(code, detail or code.meaning),
            }
        ).encode()
        phrase = http.HTTPStatus(code.http_status).phrase
        head = (
            f"HTTP/1.1 {code.http_status} {phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Briarspoke-Code: {code.number}\r\n"
            f"Briarspoke-Class: {code.kind.value}\r\n"
            f"Briarspoke-Configuration-Version: {version}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.loseConnection()

    def lineLengthExceeded(self, line):
        """Answers a header line that exceeds the maximum length with an error."""
        self.refuse(HEAD_TOO_LARGE)

    def _respondToBadRequestAndDisconnect(self):
        is_head_too_large = self._receivedHeaderSize > self.totalHeadersSize
        self.refuse(HEAD_TOO_LARGE if is_head_too_large else MALFORMED_REQUEST)


class AdminSite(server.Site):
    """Factory of the API's HTTP connections.

    :param api: the :class:`AdminApi`.
    """

    noisy = False
    displayTracebacks = False

    def __init__(self, api):
        super().__init__(api, reactor=api.watches.reactor)
        self.api = api

    def buildProtocol(self, address):
        """Returns the protocol of a new connection."""
        return AdminChannel(self)

    def log(self, request):
        """Disables the access log, since the API logs changes itself."""

    def doStop(self):
        """Ends the watches when the port stops listening."""
        self.api.watches.stop()
        super().doStop()
