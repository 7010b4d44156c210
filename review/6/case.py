"""Servers that break off answers without a length by a reset."""

from __future__ import annotations

import asyncio
import collections
import json
import random
import subprocess
import sys

import cutting_server
import estate

VMS = 2
# Two of four servers break off a share of their answers.
SERVERS, BREAKING = 4, 2
BROKEN_SHARE = 0.03
BODY_BYTES = 5_000
SLOTS = 6
KEYS = 65_536
CLIENTS = 12
DEADLINE_MS = 2_500
PLAY_S = 95.0


class Tally:
    """Counts what clients have seen.

    :ivar cut: successes with a part of the body that look complete.
    """

    def __init__(self):
        self.by_status = collections.Counter()
        self.cut = 0


def start_server(number):
    """Starts the process of a server; returns it and its port."""
    share = BROKEN_SHARE if number < BREAKING and estate.is_trouble() else 0.0
    process = subprocess.Popen(
        [
            sys.executable,
            cutting_server.__file__,
            f"s{number}",
            str(share),
            str(BODY_BYTES),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, int(process.stdout.readline())


async def client(record, number, port, tally):
    """Sends one request after the other on a kept connection."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PLAY_S
    writer = None
    turn = 0
    keys = random.Random(number)
    while loop.time() < ends_at:
        turn += 1
        request_id = f"{number:02}{turn:014}"
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                estate.request(
                    b"GET",
                    b"/price/1",
                    request_id,
                    deadline_ms=DEADLINE_MS,
                    headers=[(b"Shard-Key", b"%d" % keys.randrange(KEYS))],
                )
            )
            message = await estate.read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            message = None
        if message is None:
            writer = None
            tally.by_status["none"] += 1
            continue
        status = message.start.split(b" ")[1].decode()
        size = len(message.body)
        record.note(f"{request_id} {status} {size}")
        tally.by_status[status] += 1
        if b"retry-after" in message.headers:
            await asyncio.sleep(float(message.headers[b"retry-after"]))
        if status == "200" and size != BODY_BYTES:
            tally.cut += 1
            record.note(f"{request_id} is cut off and looks complete")
    if writer is not None:
        writer.close()


async def play(record, directory, vms, servers):
    store = estate.Store()
    await store.start()
    for number in range(SERVERS):
        process, port = start_server(number)
        servers.append(process)
        body = {
            "service": "catalogue",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "slots": SLOTS,
            "state": "ready",
            "warmup_left": "0ms",
            "seq": 1,
            "born": 1_000 + number,
            "config_version": "r1",
        }
        store.model.put(f"servers/s{number}", json.dumps(body).encode())
    routes = {"price": ("safe", "catalogue")}
    store.model.put(
        "op/config",
        estate.configuration(1, {"catalogue": True}, routes, timeout="2500ms"),
    )
    for number in range(VMS):
        vms.append(
            estate.EntryVm(name=f"front-a-{number}", directory=directory, store=store)
        )
        vms[-1].start()
    for vm in vms:
        await vm.ready()
    # The keys get their first owners.
    await asyncio.sleep(4.0)
    tally = Tally()
    await asyncio.gather(
        *(client(record, n, vms[n % VMS].caller_port, tally) for n in range(CLIENTS))
    )
    return tally


async def case(record, directory, vms):
    servers = []
    runs = broken = 0
    try:
        tally = await play(record, directory, vms, servers)
    finally:
        for process in servers:
            process.terminate()
        for process in servers:
            counts = process.communicate(timeout=5)[0].split()
            runs, broken = runs + int(counts[0]), broken + int(counts[1])
    record.conclude(
        f"servers have run {runs} requests and broken off {broken} answers; statuses "
        f"{dict(tally.by_status)}; broken answers that clients got as complete "
        f"successes: {tally.cut}"
    )
    return tally.cut == 0


if __name__ == "__main__":
    estate.run(case, __file__)
