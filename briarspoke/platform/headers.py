"""Names of the platform's HTTP headers and paths."""

from __future__ import annotations

# Identifier of one attempt of a caller. Servers repeat it in their answers.
REQUEST_ID = b"request-id"
# Milliseconds that the sender waits for the answer.
DEADLINE_MS = b"deadline-ms"
# Signature of the server. An answer without it does not come from the server.
SIGNATURE = b"response-signature"
# Identifier of the only server that may run the request.
TARGET_SERVER = b"target-instance"
# Present if the server has not run the request and will not run it.
NOT_RUN = b"not-executed"
SERVER_ID = b"instance-id"
# Requests per second that the server takes from all entry VMs together.
RATE_LIMIT = b"server-limit"
# Present with the value 1 in all answers of a server that is leaving.
LEAVING = b"server-leaving"
# In an answer 503: seconds for which the server wants nothing from this entry VM.
RETRY_AFTER = b"retry-after"
# Requests that run and wait at the server, its slots, and how long work takes now in
# percent of the usual time, as one list.
SERVER_LOAD = b"server-load"
# In answers to health checks: milliseconds for which the server is still cold.
WARMUP_MS = b"warmup-ms"
# Key of a request to a keyed service.
KEY = b"shard-key"
# Token with which the next owner of a key range needs no warm-up.
HANDOVER = b"handover"
# Number of the store's eras. It rises by one each time the store is restored from a
# copy, and revisions and leases of an earlier era are then given out again.
STORE_ERA = b"store-era"

READY_PATH = b"/briarspoke/ready"
GRANT_PATH = b"/briarspoke/grant"
RELEASE_PATH = b"/briarspoke/release"
