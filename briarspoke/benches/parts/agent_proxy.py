"""Baseline of the ``proxy`` bench: a proxy built on ``twisted.web.client.Agent``."""

from __future__ import annotations

from twisted.internet import defer
from twisted.web import client, resource, server

from briarspoke.benches import parts
from briarspoke.hashing import partition_of

_CONNECTIONS_PER_SERVER = 64


class _Proxy(resource.Resource):
    isLeaf = True

    def __init__(self, reactor, ports):
        super().__init__()
        self._ports = ports
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _CONNECTIONS_PER_SERVER
        pool._factory.noisy = False
        self._agent = client.Agent(reactor, pool=pool)

    def render(self, request):
        self._forward(request)
        return server.NOT_DONE_YET

    @defer.inlineCallbacks
    def _forward(self, request):
        port = self._ports[partition_of(request.path, len(self._ports))]
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        uri = b"http://127.0.0.1:%d%b" % (port, request.uri)
        answer = yield self._agent.request(request.method, uri, request.requestHeaders)
        body = yield client.readBody(answer)
        if disconnects:
            return
        request.setResponseCode(answer.code)
        for name, values in answer.headers.getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        request.setHeader(b"Content-Length", b"%d" % len(body))
        request.write(body)
        request.finish()


def _start(reactor, parameters):
    site = server.Site(_Proxy(reactor, parameters["ports"]))
    site.noisy = False
    port = reactor.listenTCP(0, site, interface="127.0.0.1", backlog=1024)
    return {"port": port.getHost().port}, lambda command: {}


if __name__ == "__main__":
    parts.run(_start)
