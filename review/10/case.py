"""Clients that read slowly, and a SIGTERM of their entry VM."""

from __future__ import annotations

import asyncio
import signal
import socket
import time

import estate

CLIENTS = 12
# Largest answer of the route stock-transfer in the site file.
ANSWER_BYTES = 30_000
# A client reads this much at a time, and rests between two reads.
READ_BYTES = 1_000
REST_S = 0.1
RECEIVE_BUFFER_BYTES = 4_096
WORK_S = 0.4
DEADLINE_MS = 12_517


def connect(port):
    """Returns a connection with a small window."""
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.connect(("127.0.0.1", port))
    connection.setblocking(False)
    return connection


async def read_answer(connection):
    """Reads one answer slowly.

    :returns: (status line, whether the body is whole, bytes of the body).
    """
    loop = asyncio.get_running_loop()
    data = b""
    while True:
        head, separator, body = data.partition(b"\r\n\r\n")
        if separator:
            length = next(
                int(line.partition(b":")[2])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length:")
            )
            if len(body) >= length:
                return head.split(b"\r\n")[0].decode(), True, len(body)
        try:
            piece = await loop.sock_recv(connection, READ_BYTES)
        except OSError:
            piece = b""
        if not piece:
            return head.split(b"\r\n")[0].decode() or "nothing", False, len(body)
        data += piece
        await asyncio.sleep(REST_S)


async def client(record, number, port, stop_sent):
    """Sends two requests on one connection; returns whether both answers are whole."""
    loop = asyncio.get_running_loop()
    connection = connect(port)
    results = []
    try:
        for turn in ("first", "second"):
            name = f"{turn}-{number}"
            data = estate.request(
                b"POST",
                b"/%b/1" % (b"short" if turn == "first" else b"transfer"),
                name,
                deadline_ms=DEADLINE_MS,
                body=b"x" * 300,
            )
            sent_at = time.monotonic()
            record.note(f"client {number} sends {name}")
            await loop.sock_sendall(connection, data)
            if turn == "second":
                stop_sent.set()
            status, is_whole, size = await read_answer(connection)
            record.note(
                f"client {number} gets for {name}: {status!r}, body "
                f"{'whole' if is_whole else 'cut off'} after {size} bytes and "
                f"{time.monotonic() - sent_at:.2f} s"
            )
            results.append(is_whole)
    finally:
        connection.close()
    return all(results)


async def case(record, directory, vms):
    store = estate.Store()
    await store.start()
    servers = [
        estate.Server(
            record=record,
            server_id=f"s{number}",
            service="ledger",
            slots=6,
            work_s=WORK_S,
            answer=lambda message: (
                b"a" * (400 if b"/short/" in message.start else ANSWER_BYTES)
            ),
        )
        for number in range(4)
    ]
    for server in servers:
        await server.start(store)
    routes = {"short": ("unsafe", "ledger"), "transfer": ("unsafe", "ledger")}
    store.model.put("op/config", estate.configuration(1, {"ledger": False}, routes))
    for number in range(2):
        vms.append(
            estate.EntryVm(
                name=f"front-a-{number}",
                directory=directory,
                store=store,
                memory_mb=552,
                link_mbps=100.0,
            )
        )
        vms[-1].start()
    for vm in vms:
        await vm.ready()
    stop_sent = asyncio.Event()
    clients = [
        asyncio.create_task(client(record, n, vms[0].caller_port, stop_sent))
        for n in range(CLIENTS)
    ]
    await stop_sent.wait()
    await asyncio.sleep(0.2)
    if estate.is_trouble():
        record.note("SIGTERM of front-a-0")
        vms[0].process.send_signal(signal.SIGTERM)
    whole = await asyncio.gather(*clients)
    cut = whole.count(False)
    record.conclude(
        f"{len(whole)} clients, answers of a server that were cut off: {cut}"
    )
    return cut == 0


if __name__ == "__main__":
    estate.run(case, __file__)
