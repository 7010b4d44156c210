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
# Result codes of changes that were well-formed but refused.
_REFUSED_CODES = (*range(5009, 5013), 5019)


class CallError(BriarspokeError):
    """A failed call to the API.

    :param answer: JSON object of the answer, or one of the same form if there was no
        answer.
    :param exit_status: exit status of the command.
    :param output: output format, ``table`` or ``json``.
    """

    def __init__(self, answer, *, exit_status, output):
        super().__init__(_format_message(answer))
        self.answer = answer
        self.exit_status = exit_status
        self.output = output


@dataclass(kw_only=True)
class Api:
    """Client of the operators' API, and the options that all its commands share."""

    url: Annotated[str, Parameter(env_var=URL_VARIABLE)] = DEFAULT_URL
    "URL of the operators' API of any entry VM."

    token_file: Annotated[str | None, Parameter(env_var=TOKEN_FILE_VARIABLE)] = None
    "File with the bearer token; BRIARSPOKE_TOKEN takes precedence."

    output: Literal["table", "json"] = "table"
    "Output format: tables for people or JSON for programs."

    def call(self, method, path, body=None, headers=None):
        """Sends a request and returns the JSON object of the answer.

        :param body: JSON value, or None for a request without a body.
        :raises CallError: if the answer is an error or there is no answer.
        """
        connection = self._create_connection()
        try:
            response = self._send(connection, method, path, body, headers or {})
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise self._no_answer_error(method, error) from error
        finally:
            connection.close()
        return self._parse_answer(response.status, content)

    def iter_json_lines(self, path):
        """Yields the JSON object of each line of a streamed answer.

        :raises CallError: if the answer is an error or the stream is interrupted.
        """
        connection = self._create_connection()
        try:
            response = self._send(connection, "GET", path, None, {})
            if response.status != 200:
                self._parse_answer(response.status, response.read())
            for line in response:
                yield json.loads(line)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise self._no_answer_error("GET", error) from error
        finally:
            connection.close()

    def _create_connection(self):
        parts = urlsplit(self.url)
        try:
            port = parts.port
        except ValueError:
            port = -1
        if parts.scheme != "http" or not parts.hostname or port == -1:
            raise UserError(f"{self.url} is not an http URL such as {DEFAULT_URL}")
        return http.client.HTTPConnection(parts.hostname, port or 80, timeout=TIMEOUT_S)

    def _send(self, connection, method, path, body, headers):
        headers = {"Authorization": f"Bearer {self._read_token()}", **headers}
        content = None if body is None else json.dumps(body).encode()
        try:
            connection.connect()
        except OSError as error:
            raise CallError(
                _local_answer(
                    "api-unreachable",
                    f"cannot reach {self.url}: {_describe_error(error)}",
                ),
                exit_status=EXIT_UNAVAILABLE,
                output=self.output,
            ) from error
        connection.request(method, path, content, headers)
        return connection.getresponse()

    def _read_token(self):
        token = os.environ.get(TOKEN_VARIABLE)
        if token is None and self.token_file is not None:
            try:
                with open(self.token_file, encoding="utf-8") as file:
                    token = file.read()
            except (OSError, UnicodeDecodeError) as error:
                raise UserError(f"cannot read the token file: {error}") from error
        if token is None or not token.strip():
            raise UserError(f"no token; set {TOKEN_VARIABLE} or give a --token-file")
        token = token.strip()
        if not (token.isascii() and token.isprintable()):
            raise UserError("the token contains characters other than printable ASCII")
        return token

    def _parse_answer(self, status, content):
        try:
            answer = json.loads(content)
        except ValueError:
            answer = _local_answer("no-json", f"status {status} without JSON")
        if status == 200 and "code" not in answer:
            return answer
        raise CallError(answer, exit_status=_exit_status(answer), output=self.output)

    def _no_answer_error(self, method, error):
        name = "answer-lost" if method == "GET" else "outcome-unknown"
        return CallError(
            _local_answer(name, f"no answer from {self.url}: {_describe_error(error)}"),
            exit_status=EXIT_UNAVAILABLE,
            output=self.output,
        )


def _local_answer(name, detail):
    return {"code": None, "name": name, "class": "unavailable", "detail": detail}


def _describe_error(error):
    if isinstance(error, socket.timeout):
        return f"nothing within {TIMEOUT_S:g} s"
    return getattr(error, "strerror", None) or str(error) or type(error).__name__


def _exit_status(answer):
    if answer.get("code") in _REFUSED_CODES:
        return EXIT_REFUSED
    if answer.get("class") == "caller-error":
        return EXIT_USER_ERROR
    return EXIT_UNAVAILABLE


def _format_message(answer):
    number = f"{answer['code']} " if answer.get("code") else ""
    lines = [f"{number}{answer.get('name')}: {answer.get('detail')}"]
    for problem in answer.get("problems", ()):
        lines.append(
            f"  {problem['path']}: {problem['message']} "
            f"[{problem['code']} {problem['name']}]"
        )
    for conflict in answer.get("conflicts", ()):
        subject = "the configuration"
        if conflict["kind"]:
            subject = f"{conflict['kind']}/{conflict['name']}"
        lines.append(
            f"  {subject}: expected version {conflict['expected_version']}, "
            f"found {conflict['found_version']}"
        )
    if "resolve" in answer:
        lines.append(
            f"  find out with: briarspoke get writes {answer['write_id']} "
            f"--base {answer['base_version']}"
        )
    return "\n".join(lines)
