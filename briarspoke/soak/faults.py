"""Faults that a soak injects from outside the entry VM processes."""

from __future__ import annotations

import signal

from briarspoke.soak.demand import KEY_COUNT, SURGE_FACTOR
from briarspoke.soak.deployment import ZONES

by_name = {}


def fault(function):
    """Registers a function that starts a fault.

    It is called with the :class:`~briarspoke.soak.run.SoakRun` and returns the function
    that ends the fault. Its name, with hyphens, is the name of the fault in reports.
    """
    by_name[function.__name__.replace("_", "-")] = function
    return function


@fault
def kill_node(run):
    node = run.choose(run.deployment.nodes)
    run.checks.disturbed(node.name)
    node.signal(signal.SIGKILL)
    return lambda: run.restart(node)


@fault
def stop_node(run):
    node = run.choose(run.deployment.nodes)
    run.checks.disturbed(node.name)
    node.signal(signal.SIGTERM)
    return lambda: run.restart(node)


@fault
def pause_node(run):
    node = run.choose(run.deployment.nodes)
    run.checks.disturbed(node.name)
    node.signal(signal.SIGSTOP)

    def end():
        node.signal(signal.SIGCONT)
        run.checks.undisturbed(node.name)

    return end


@fault
def cut_node_from_store(run):
    node = run.choose(run.deployment.nodes)
    run.checks.disturbed(node.name)
    run.checks.evacuations.path_broken(node.name)
    node.proxy.set_mode(run.choose(("silent", "reset", "one-way", "slow")))

    def end():
        node.proxy.set_mode("open")
        run.checks.evacuations.path_restored(node.name)
        run.checks.undisturbed(node.name)

    return end


@fault
def store_outage(run):
    stand_in = run.deployment.store_stand_in
    stand_in.outage = run.choose(("busy", "silent", "reset"))
    run.checks.cold.store_failed()
    for node in run.deployment.nodes:
        run.checks.evacuations.path_broken(node.name)

    def end():
        stand_in.outage = ""
        for node in run.deployment.nodes:
            run.checks.evacuations.path_restored(node.name)

    return end


@fault
def store_outage_with_lapses(run):
    run.deployment.store.end_all_leases()
    return store_outage(run)


@fault
def restored_store(run):
    copy = run.deployment.store.copy()
    return lambda: run.deployment.restore_store(copy)


@fault
def lost_writes(run):
    stand_in = run.deployment.store_stand_in
    stand_in.lost_answer_fraction = 0.4

    def end():
        stand_in.lost_answer_fraction = 0.0

    return end


@fault
def history_gone(run):
    run.deployment.store.forget_history()
    return lambda: None


@fault
def cut_server(run):
    proxy = run.choose(run.deployment.servers).proxy
    proxy.set_mode(run.choose(("silent", "reset", "one-way", "slow")))
    return lambda: proxy.set_mode("open")


@fault
def restart_server(run):
    run.choose(run.deployment.servers).restart()
    return lambda: None


@fault
def replace_server(run):
    server = run.choose(run.deployment.servers)
    if run.choose((True, False)):
        server.expire_registration()
    server.replace()
    return server.register


@fault
def late_registration(run):
    server = run.choose(run.deployment.servers)
    server.register_late()
    return server.register


@fault
def drain_server(run):
    server = run.choose(run.deployment.servers)
    server.state = "draining"
    server.register()
    return server.restart


@fault
def leave_in_answers(run):
    # The registration stays ready.
    server = run.choose(run.deployment.servers)
    server.stand_in.leaving = True
    return server.restart


@fault
def pause_server(run):
    server = run.choose(run.deployment.servers)
    stand_in = server.stand_in
    stand_in.pause_s = run.choose((0.8, 1.5, 3.0))

    def end():
        stand_in.pause_s = None

    return end


@fault
def lapse_server(run):
    server = run.choose(run.deployment.servers)
    server.expire_registration()
    return server.register


@fault
def lost_answers(run):
    server = run.choose(run.deployment.servers)
    server.stand_in.lost_answer_fraction = 0.5
    server.stand_in.resets_lost_answers = run.choose((True, False))

    def end():
        server.stand_in.lost_answer_fraction = 0.0

    return end


@fault
def change_configuration(run):
    run.deployment.write_configuration()
    return lambda: None


@fault
def lose_server(run):
    server = run.choose(run.deployment.servers)
    server.proxy.set_mode("silent")
    server.expire_registration()

    def end():
        server.proxy.set_mode("open")
        server.register()

    return end


@fault
def cold_server(run):
    """One server or all of a service become cold again while they serve."""
    server = run.choose(run.deployment.servers)
    servers = [s for s in run.deployment.servers if s.service == server.service]
    # Nobody can learn of it while the store is out.
    if not run.deployment.store_stand_in.outage:
        for cold in servers if run.choose((True, False)) else [server]:
            # A server that is not registered is not known to be cold.
            if cold.is_renewing:
                cold.become_cold()
    return lambda: None


@fault
def slow_server(run):
    stand_in = run.choose(run.deployment.servers).stand_in
    stand_in.slowness = 3.0

    def end():
        stand_in.slowness = 1.0

    return end


@fault
def false_load(run):
    stand_in = run.choose(run.deployment.servers).stand_in
    stand_in.false_load = run.choose(
        (b"0,0,4", b"0,0,0", b"99999999999,7,4,1", b"x", b"-1,0,4", b"4,16,4,900")
    )

    def end():
        stand_in.false_load = None

    return end


@fault
def hot_key(run):
    run.demand.hot_key = run.choose(range(KEY_COUNT))

    def end():
        run.demand.hot_key = None

    return end


@fault
def surge(run):
    run.demand.factor = SURGE_FACTOR

    def end():
        run.demand.factor = 1.0

    return end


@fault
def moved_callers(run):
    run.demand.zone = run.choose(ZONES)

    def end():
        run.demand.zone = None

    return end
