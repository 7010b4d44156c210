"""Names of HTTP headers and paths as the platform spells them."""

from __future__ import annotations

# Identifier of one attempt of a caller; servers echo it.
REQUEST_ID = b"request-id"
# Milliseconds that the sender is going to wait.
DEADLINE_MS = b"deadline-ms"
# Mark of the server on its answer; an answer without it is not the server's.
SIGNATURE = b"response-signature"
# Identifier of the only server that may run the request.
TARGET_SERVER = b"target-instance"
# Present if the server has not run the request and is not going to.
NOT_RUN = b"not-executed"
SERVER_ID = b"instance-id"
# Key of a request to a service divided by key.
KEY = b"shard-key"
# Token that spares the next owner of a key range its warm-up.
HANDOVER = b"handover"

READY_PATH = b"/briarspoke/ready"
GRANT_PATH = b"/briarspoke/grant"
RELEASE_PATH = b"/briarspoke/release"
