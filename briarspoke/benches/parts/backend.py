"""Backend servers of a bench."""

from __future__ import annotations

import hashlib
import random

from briarspoke import clock
from briarspoke.benches import parts
from briarspoke.benches.parts.faulty import FaultyBackend, Mode
from briarspoke.standins.backend import BackendFactory, BackendStandIn, Fault

_FAULTS = tuple(Fault)
_RANK_BY_METHOD = {b"GET": "lookup", b"POST": "booking", b"PUT": "bulk"}


def echo_answer(request_id, size):
    """Returns an answer body that is unique to a request identifier.

    :param size: length of the body in bytes.
    """
    digest = hashlib.sha256(request_id).hexdigest().encode()
    return (digest * (size // len(digest) + 1))[:size]


def _echo_body(size):
    def answer(connection):
        return echo_answer(connection.headers[b"briarspoke-request-id"], size)

    return answer


def _faults(rate, seed):
    rng = random.Random(seed)

    def fault(connection):
        return rng.choice(_FAULTS) if rng.random() < rate else None

    return fault


def _service_s(parameters):
    by_rank = parameters.get("service_s_by_rank")
    if by_rank is None:
        return parameters.get("service_s", 0.0)
    return lambda connection: by_rank[_RANK_BY_METHOD[connection._parser.get_method()]]


class _Servers:
    """Backend servers in one process.

    The parameter ``fault_rate`` injects faults at random. With ``switchable``,
    the command ``mode`` sets the fault mode of all servers.
    """

    def __init__(self, reactor, parameters):
        self.reactor = reactor
        self.backends = []
        self.listening = []
        self.freezes = 0
        self.outages = 0
        size = parameters.get("answer_bytes", 200)
        answer_body = _echo_body(size) if parameters.get("echo") else b"x" * size
        backend_class = (
            FaultyBackend if parameters.get("switchable") else BackendStandIn
        )
        for name in parameters["names"]:
            rate = parameters.get("fault_rate", 0.0)
            backend = backend_class(
                name=name,
                reactor=reactor,
                clock=clock.monotonic,
                slots=parameters.get("slots", 6),
                service_s=_service_s(parameters),
                keep_records=parameters.get("keep_records", False),
                answer=answer_body,
                fault=_faults(rate, f"{name}{parameters['seed']}") if rate else None,
                read_rate=parameters.get("read_rate"),
                idle_close_s=parameters.get("idle_close_s"),
            )
            self.backends.append(backend)
            self.listening.append(self._listen(backend, 0))
        self.ports = [port.getHost().port for port in self.listening]
        if parameters.get("fault_rate"):
            self.rng = random.Random(parameters["seed"])
            reactor.callLater(1.0, self._freeze)
            reactor.callLater(1.5, self._stop_listening)

    def _listen(self, backend, port):
        return self.reactor.listenTCP(
            port, BackendFactory(backend), interface="127.0.0.1"
        )

    def _freeze(self):
        backend = self.rng.choice(self.backends)
        backend.freeze()
        self.freezes += 1
        self.reactor.callLater(0.7, backend.thaw)
        self.reactor.callLater(1.5, self._freeze)

    def _stop_listening(self):
        index = self.rng.randrange(len(self.backends))
        self.listening[index].stopListening()
        for connection in list(self.backends[index].connections):
            connection.transport.abortConnection()
        self.outages += 1
        self.reactor.callLater(0.5, self._resume_listening, index)

    def _resume_listening(self, index):
        self.listening[index] = self._listen(self.backends[index], self.ports[index])
        self.reactor.callLater(1.0, self._stop_listening)

    def handle(self, command):
        """Sets the mode, if the command has one, and returns the servers' records."""
        if "mode" in command:
            for backend in self.backends:
                backend.set_mode(Mode(command["mode"]))
        executions = {}
        for backend in self.backends:
            for execution in backend.executions:
                executions.setdefault(execution.request_id, []).append(
                    execution.body_hash
                )
        faults = {"freeze": self.freezes, "stop-listening": self.outages}
        for backend in self.backends:
            for name, count in backend.faults.items():
                faults[name] = faults.get(name, 0) + count
        return {
            "at": clock.monotonic(),
            "executions": executions,
            "faults": faults,
            "shed": sum(backend.shed for backend in self.backends),
            "peak_running": max(backend.peak_running for backend in self.backends),
            "arrivals": sum(
                backend.arrivals
                for backend in self.backends
                if isinstance(backend, FaultyBackend)
            ),
        }


def _start(reactor, parameters):
    servers = _Servers(reactor, parameters)
    return {"ports": servers.ports}, servers.handle


if __name__ == "__main__":
    parts.run(_start)
