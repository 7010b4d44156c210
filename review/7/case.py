"""A server that fails part of its requests after it has run them."""

from __future__ import annotations

import asyncio
import random

import estate

SERVERS, SLOTS = 8, 6
# One of eight servers fails a share of its requests.
FAILING = "s3"
FAILED_SHARE = 0.4
WORK_S = 0.1
CLIENTS = 36
ORDERS = 15
DEADLINE_MS = 2_500
# Tries of a client for one order.
TRIES = 3
# Statuses that promise that a request has not run and never will.
PROMISES = (b"408", b"421", b"429", b"503")


class Tally:
    """Counts what clients and servers have seen."""

    def __init__(self):
        self.answered = self.broken = self.run_again = 0


def failing_answer(server_id, rng):
    """Returns the function that gives the answers of a server."""

    def answer(message):
        if server_id == FAILING and estate.is_trouble() and rng.random() < FAILED_SHARE:
            return 503, b"the ledger cannot confirm the order"
        return b"done"

    return answer


async def send(port, request_id):
    """Sends one try on a new connection; returns its status, or None."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(
            estate.request(
                b"POST",
                b"/order/1",
                request_id,
                deadline_ms=DEADLINE_MS,
                body=b"q" * 300,
            )
        )
        message = await estate.read_message(reader)
        return None if message is None else message.start.split(b" ")[1]
    except (OSError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


async def client(record, number, ports, servers, tally):
    """Places one order after the other, and tries again after a promise only."""
    for order in range(ORDERS):
        runs = 0
        for attempt in range(TRIES):
            request_id = f"order-{number:02}-{order:02}-try-{attempt}"
            record.note(f"client {number} sends {request_id}")
            status = await send(ports[(number + attempt) % len(ports)], request_id)
            has_run = any(request_id in server.runs for server in servers)
            runs += has_run
            record.note(
                f"client {number} gets {status} for {request_id}, run {has_run}"
            )
            tally.answered += status is not None
            if status not in PROMISES:
                break
            if has_run:
                record.note(f"{request_id} has run, though {status} says it has not")
                tally.broken += 1
            await asyncio.sleep(0.05)
        tally.run_again += runs > 1


async def case(record, directory, vms):
    store = estate.Store()
    await store.start()
    rng = random.Random(8)
    servers = []
    for number in range(SERVERS):
        server_id = f"s{number}"
        servers.append(
            estate.Server(
                record=record,
                server_id=server_id,
                service="orders",
                slots=SLOTS,
                work_s=WORK_S,
                answer=failing_answer(server_id, rng),
            )
        )
        await servers[-1].start(store)
    routes = {"order": ("unsafe", "orders")}
    store.model.put("op/config", estate.configuration(1, {"orders": False}, routes))
    for number in range(2):
        vms.append(
            estate.EntryVm(name=f"front-a-{number}", directory=directory, store=store)
        )
        vms[-1].start()
    for vm in vms:
        await vm.ready()
    await asyncio.sleep(0.5)
    tally = Tally()
    ports = [vm.caller_port for vm in vms]
    await asyncio.gather(
        *(client(record, n, ports, servers, tally) for n in range(CLIENTS))
    )
    record.conclude(
        f"{tally.answered} answers, requests that had run and were answered with a "
        f"promise that they had not: {tally.broken}, orders that ran more than once: "
        f"{tally.run_again}"
    )
    return tally.broken == 0


if __name__ == "__main__":
    estate.run(case, __file__)
