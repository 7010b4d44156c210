"""SIGHUP at entry VMs that are starting."""

from __future__ import annotations

import asyncio
import signal
import time

import estate

VMS = 2
CHANGES = 3
# Time from a start to the change of the settings, and the platform's restart delay.
CHANGE_AFTER_S = 0.1
RESTART_DELAY_S = 0.5
WATCH_S = 4.0
# The rule counts machines whose processes end by themselves so often.
ENDS = 3


class Machine:
    """Starts an entry VM again when its process has ended, as the platform does."""

    def __init__(self, *, record, vm):
        self.ends = 0
        self._record = record
        self._vm = vm

    def start(self):
        self._vm.start()
        self._record.note(f"{self._vm.name} starts")

    async def change_settings(self):
        """Sends SIGHUP, and starts the process again if it has ended."""
        if not estate.is_trouble():
            # The change comes once the process is ready.
            await self._vm.ready()
        self._record.note(f"SIGHUP of {self._vm.name}")
        self._vm.process.send_signal(signal.SIGHUP)
        ends_at = time.monotonic() + RESTART_DELAY_S
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        if self._vm.process.poll() is not None:
            self.ends += 1
            self._record.note(
                f"{self._vm.name} has ended by itself, status "
                f"{self._vm.process.returncode}"
            )
            self.start()


async def play(machine):
    """Changes the settings of one machine while it starts."""
    machine.start()
    for _ in range(CHANGES):
        await asyncio.sleep(CHANGE_AFTER_S)
        await machine.change_settings()


async def case(record, directory, vms):
    store = estate.Store()
    await store.start()
    routes = {"order": ("unsafe", "orders")}
    store.model.put("op/config", estate.configuration(1, {"orders": False}, routes))
    for number in range(VMS):
        vms.append(
            estate.EntryVm(name=f"front-a-{number}", directory=directory, store=store)
        )
    machines = [Machine(record=record, vm=vm) for vm in vms]
    await asyncio.gather(*(play(machine) for machine in machines))
    await asyncio.sleep(WATCH_S)
    often = sum(machine.ends >= ENDS for machine in machines)
    record.conclude(
        f"{VMS} machines, processes that ended by themselves: "
        f"{[machine.ends for machine in machines]}"
    )
    return often < 2


if __name__ == "__main__":
    estate.run(case, __file__)
