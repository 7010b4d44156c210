"""Client of the operators' API for the command line.

It uses ``http.client``, because importing Twisted would double the time that a
short command takes.
"""

from __future__ import annotations

import http.client
import json
import os
import socket
from dataclasses import dataclass
from typing import Annotated, Literal
from urllib.parse import urlsplit

from cyclopts import Parameter

from briarspoke.errors import BriarspokeError, UserError

DEFAULT_URL = "http://127.0.0.1:8082"
URL_VARIABLE = "BRIARSPOKE_URL"
TOKEN_VARIABLE = "BRIARSPOKE_TOKEN"
TOKEN_FILE_VARIABLE = "BRIARSPOKE_TOKEN_FILE"
TIMEOUT_S = 15.0

EXIT_REFUSED = 1
EXIT_USER_ERROR = 2
EXIT_UNAVAILABLE = 3
# Codes of a change that was understood and refused.
_REFUSED_CODES = (*range(5009, 5013), 5019)


class CallError(BriarspokeError):
    """A call to the API did not succeed.

    :param answer: JSON object of the answer, or one of the same form.
    :param exit_status: status that the command exits with.
    :param output: ``table`` or ``json``.
    """

    def __init__(self, answer, *, exit_status, output):
        super().__init__(_message(answer))
        self.answer = answer
        self.exit_status = exit_status
        self.output = output


@dataclass(kw_only=True)
class Api:
    """Where the operators' API is and how answers are printed."""

    url: Annotated[str, Parameter(env_var=URL_VARIABLE)] = DEFAULT_URL
    "URL of the operators' API of any entry VM."

    token_file: Annotated[str | None, Parameter(env_var=TOKEN_FILE_VARIABLE)] = None
    "File with the bearer token; BRIARSPOKE_TOKEN comes first."

    output: Literal["table", "json"] = "table"
    "Tables for people or JSON for programs."

    def call(self, method, path, body=None, headers=None):
        """Returns the JSON object of an answer.

        :raises CallError: if the answer is an error or none came.
        """
        connection = self._connection()
        try:
            response = self._send(connection, method, path, body, headers or {})
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise self._lost(method, error) from error
        finally:
            connection.close()
        return self._answer(response.status, content)

    def lines(self, path):
        """Yields the JSON objects of a stream of lines."""
        connection = self._connection()
        try:
            response = self._send(connection, "GET", path, None, {})
            if response.status != 200:
                self._answer(response.status, response.read())
            for line in response:
                yield json.loads(line)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise self._lost("GET", error) from error
        finally:
            connection.close()

    def _connection(self):
        parts = urlsplit(self.url)
        try:
            port = parts.port
        except ValueError:
            port = -1
        if parts.scheme != "http" or not parts.hostname or port == -1:
            raise UserError(f"{self.url} is not a URL such as {DEFAULT_URL}")
        return http.client.HTTPConnection(parts.hostname, port or 80, timeout=TIMEOUT_S)

    def _send(self, connection, method, path, body, headers):
        headers = {"Authorization": f"Bearer {self._token()}", **headers}
        content = None if body is None else json.dumps(body).encode()
        try:
            connection.connect()
        except OSError as error:
            raise CallError(
                _local_answer(
                    "api-unreachable", f"cannot reach {self.url}: {_reason(error)}"
                ),
                exit_status=EXIT_UNAVAILABLE,
                output=self.output,
            ) from error
        connection.request(method, path, content, headers)
        return connection.getresponse()

    def _token(self):
        token = os.environ.get(TOKEN_VARIABLE)
        if token is None and self.token_file is not None:
            try:
                with open(self.token_file, encoding="utf-8") as file:
                    token = file.read()
            except (OSError, UnicodeDecodeError) as error:
                raise UserError(f"cannot read the token file: {error}") from error
        if token is None or not token.strip():
            raise UserError(f"set {TOKEN_VARIABLE} or name a --token-file")
        token = token.strip()
        if not (token.isascii() and token.isprintable()):
            raise UserError("the token has characters other than printable ASCII")
        return token

    def _answer(self, status, content):
        try:
            answer = json.loads(content)
        except ValueError:
            answer = _local_answer("no-json", f"status {status} without JSON")
        if status == 200 and "code" not in answer:
            return answer
        raise CallError(answer, exit_status=_exit_status(answer), output=self.output)

    def _lost(self, method, error):
        name = "answer-lost" if method == "GET" else "outcome-unknown"
        return CallError(
            _local_answer(name, f"no answer from {self.url}: {_reason(error)}"),
            exit_status=EXIT_UNAVAILABLE,
            output=self.output,
        )


def _local_answer(name, detail):
    return {"code": None, "name": name, "class": "unavailable", "detail": detail}


def _reason(error):
    if isinstance(error, socket.timeout):
        return f"nothing within {TIMEOUT_S:g} s"
    return getattr(error, "strerror", None) or str(error) or type(error).__name__


def _exit_status(answer):
    if answer.get("code") in _REFUSED_CODES:
        return EXIT_REFUSED
    if answer.get("class") == "caller-error":
        return EXIT_USER_ERROR
    return EXIT_UNAVAILABLE


def _message(answer):
    number = f"{answer['code']} " if answer.get("code") else ""
    lines = [f"{number}{answer.get('name')}: {answer.get('detail')}"]
    for problem in answer.get("problems", ()):
        lines.append(
            f"  {problem['path']}: {problem['message']} "
            f"[{problem['code']} {problem['name']}]"
        )
    for conflict in answer.get("conflicts", ()):
        what = "the configuration"
        if conflict["kind"]:
            what = f"{conflict['kind']}/{conflict['name']}"
        lines.append(
            f"  {what}: expected version {conflict['expected_version']}, "
            f"found {conflict['found_version']}"
        )
    if "resolve" in answer:
        lines.append(
            f"  find out with: briarspoke get writes {answer['write_id']} "
            f"--base {answer['base_version']}"
        )
    return "\n".join(lines)
