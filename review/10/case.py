"""Uploads in small chunks."""

from __future__ import annotations

import asyncio

import estate

CLIENTS, UPLOADS = 10, 8
# Largest upload of the site file, and the bytes that a client writes at a time.
BODY_BYTES = 360_000
LINE_BYTES = 16
LARGE_CHUNK_BYTES = 65_536
WORK_S = 0.1
DEADLINE_MS = 16_625
# The rule allows 5 and one in 500 of all requests.
ALLOWED = 5 + CLIENTS * UPLOADS / 500


def upload(request_id):
    """Returns an upload in chunks."""
    size = LINE_BYTES if estate.is_trouble() else LARGE_CHUNK_BYTES
    head = estate.request(
        b"POST",
        b"/manifest/1",
        request_id,
        deadline_ms=DEADLINE_MS,
        headers=[(b"Transfer-Encoding", b"chunked")],
    )
    chunks = []
    for start in range(0, BODY_BYTES, size):
        length = min(size, BODY_BYTES - start)
        chunks.append(b"%x\r\n%b\r\n" % (length, b"m" * length))
    return b"".join([head, *chunks, b"0\r\n\r\n"])


async def client(record, number, port, tally):
    """Uploads one body after the other, each on a new connection."""
    for turn in range(UPLOADS):
        request_id = f"upload-{number:02}-{turn:02}"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        record.note(f"client {number} sends {request_id}")
        writer.write(upload(request_id))
        try:
            message = await estate.read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            message = None
        writer.close()
        status = b"none" if message is None else message.start.split(b" ")[1]
        record.note(f"client {number} gets {status.decode()} for {request_id}")
        tally[status] = tally.get(status, 0) + 1


async def case(record, directory, vms):
    store = estate.Store()
    await store.start()
    servers = [
        estate.Server(
            record=record,
            server_id=f"s{number}",
            service="intake",
            slots=6,
            work_s=WORK_S,
            answer=lambda message: b"%d" % len(message.body),
        )
        for number in range(6)
    ]
    for server in servers:
        await server.start(store)
    routes = {"manifest": ("upload", "intake")}
    store.model.put("op/config", estate.configuration(1, {"intake": False}, routes))
    for number in range(2):
        vms.append(
            estate.EntryVm(name=f"front-a-{number}", directory=directory, store=store)
        )
        vms[-1].start()
    for vm in vms:
        await vm.ready()
    # A machine is in touch once it has run for a while.
    await asyncio.sleep(4.0)
    tally = {}
    await asyncio.gather(
        *(client(record, n, vms[n % 2].caller_port, tally) for n in range(CLIENTS))
    )
    denied = sum(count for status, count in tally.items() if status[:1] in b"34")
    runs = sum(len(server.runs) for server in servers)
    record.conclude(
        f"{CLIENTS * UPLOADS} proper uploads, {runs} have run, ended with a 3xx or "
        f"4xx: {denied}, statuses {tally}"
    )
    return denied <= ALLOWED


if __name__ == "__main__":
    estate.run(case, __file__)
