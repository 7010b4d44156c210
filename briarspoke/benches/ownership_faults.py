"""Faults of the ownership bench: functions that take the scenario."""

from __future__ import annotations

from briarspoke.benches.world import STORE, ZONES

faults_by_name = {}


def fault(function):
    """Registers a fault under its function's name.

    The function injects the fault and returns a function that ends it, or None if
    the fault needs no end.
    """
    faults_by_name[function.__name__.replace("_", "-")] = function
    return function


@fault
def entry_vm_restarted(scenario):
    node = scenario.controller_node()
    if node is None:
        return None
    node.kill()
    return lambda: scenario._replace(node)


@fault
def entry_vm_replaced(scenario):
    node = scenario.controller_node()
    if node is None:
        return None
    node.kill()
    scenario.world.report_vm_state(node.name, "terminated")
    scenario.ended_nodes.append(node)
    del scenario.world.nodes_by_name[node.name]
    base = node.name.split(".")[0]
    name = f"{base}.{next(scenario.world.incarnations)}"
    scenario.world.scheduler.call_later(
        scenario.random.uniform(0.2, 2.0), scenario.start_node, name, node.zone
    )
    return None


def _pause(scenario, node):
    if node is None or node.paused or not node.alive:
        return None
    node.pause(clock_stops=scenario.clocks_stop)
    return lambda: node.resume() if node.paused else None


@fault
def entry_vm_paused(scenario):
    return _pause(scenario, scenario.controller_node())


@fault
def controller_paused_in_move(scenario):
    """Drains a server and pauses the controller that moves its partitions."""
    server = scenario.server()
    _set_state(scenario, server.name, "draining")
    scenario.configure()
    end_functions = []
    deadline = scenario.world.scheduler.now + 1.0

    def pause_when_moving():
        for node in list(scenario.world.nodes_by_name.values()):
            if _is_moving_from(node, server):
                scenario.world.counts["paused-in-move"] += 1
                end_functions.append(_pause(scenario, node))
                return
        if scenario.world.scheduler.now < deadline:
            scenario.world.scheduler.call_later(0.002, pause_when_moving)

    pause_when_moving()

    def finish():
        for end in end_functions:
            if end is not None:
                end()
        _set_state(scenario, server.name, "active")
        scenario.configure()

    return finish


def _is_moving_from(node, server):
    """Returns whether a running controller is moving partitions off a server."""
    controller = node.controllers[server.zone]
    return (
        node.alive
        and not node.paused
        and controller.active
        and controller.has_moving_partitions(server.name)
    )


def _cut(scenario, matches):
    scenario.world.cut(matches)
    return lambda: scenario.world.heal_cut(matches)


@fault
def entry_vm_partitioned(scenario):
    node = scenario.controller_node()
    return _cut(scenario, lambda source, target: source == node.name) if node else None


@fault
def entry_vm_without_store(scenario):
    node = scenario.controller_node()
    if node is None:
        return None
    return _cut(
        scenario, lambda source, target: source == node.name and target == STORE
    )


@fault
def entry_vm_without_server(scenario):
    node, server = scenario.controller_node(), scenario.server()
    if node is None:
        return None
    return _cut(
        scenario, lambda source, target: source == node.name and target == server.name
    )


@fault
def zone_partitioned(scenario):
    zone = scenario.random.choice(ZONES)
    zones = scenario.world.zone_by_name
    return _cut(
        scenario,
        lambda source, target: zones.get(source) == zone and zones.get(target) != zone,
    )


@fault
def controller_and_server_partitioned(scenario):
    node, server = scenario.controller_node(), scenario.server()
    if node is None:
        return None
    isolated = {node.name, server.name}
    return _cut(
        scenario,
        lambda source, target: (source in isolated) and (target not in isolated),
    )


@fault
def server_killed(scenario):
    server = scenario.server()
    server.kill()
    return server.restart


@fault
def server_declared_terminated(scenario):
    server = scenario.server()
    server.kill()
    _set_state(scenario, server.name, "terminated")
    scenario.configure()

    def end():
        server.restart()
        _set_state(scenario, server.name, "active")
        scenario.configure()

    return end


@fault
def server_frozen(scenario):
    server = scenario.server()
    if not server.alive:
        return None
    server.freeze()
    return server.thaw


@fault
def store_down(scenario):
    scenario.world.store.down = True

    def end():
        scenario.world.store.down = False

    return end


@fault
def store_slow(scenario):
    scenario.world.store.extra_s = scenario.random.uniform(0.1, 1.5)

    def end():
        scenario.world.store.extra_s = 0.0

    return end


@fault
def store_answers_lost(scenario):
    scenario.world.store.lost_share = 0.5

    def end():
        scenario.world.store.lost_share = 0.0

    return end


@fault
def lease_lapses_early(scenario):
    """Revokes a random lease in the store before it expires."""
    state = scenario.world.store.state
    if state.leases and not scenario.world.store.down:
        state.revoke(scenario.random.choice(sorted(state.leases)))
    return None


@fault
def candidates_race(scenario):
    """Revokes a zone's leader lease and makes all candidates run for it."""
    state = scenario.world.store.state
    zone = scenario.random.choice(ZONES)
    entry = state.entries.get(f"controllers/{zone}")
    if entry is not None:
        state.revoke(entry.lease)
    for node in list(scenario.world.nodes_by_name.values()):
        if node.alive and not node.paused:
            candidate = node.candidates[zone]
            candidate.record_seen(None, node.clock() - 5.0)
    return None


@fault
def vm_list_late(scenario):
    scenario.world.vm_list_lag_s = scenario.random.uniform(2.0, 8.0)

    def end():
        scenario.world.vm_list_lag_s = 1.0

    return end


@fault
def control_calls_delayed(scenario):
    scenario.world.delayed_call_share = 0.3

    def end():
        scenario.world.delayed_call_share = 0.0

    return end


def _set_state(scenario, name, state):
    for entry in scenario.resources["servers"]:
        if entry["name"] == name:
            entry["state"] = state


@fault
def server_drained(scenario):
    name = scenario.server().name
    _set_state(scenario, name, "draining")
    scenario.configure()

    def end():
        _set_state(scenario, name, "active")
        scenario.configure()

    return end


@fault
def zone_evacuated(scenario):
    zone = scenario.random.choice(scenario.resources["zones"])
    zone["evacuated"] = True
    scenario.configure()

    def end():
        zone["evacuated"] = False
        scenario.configure()

    return end


@fault
def isolation_rule_changed(scenario):
    service = scenario.random.choice(scenario.resources["services"])
    before = service["on_isolation"]
    after = None if before["move_after_s"] else 2.0
    service["on_isolation"] = {"move_after_s": after}
    scenario.configure()
    return None
