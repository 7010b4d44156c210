"""HTTP pages for the load balancer's readiness check and for metrics."""

from __future__ import annotations

from twisted.web import resource, server


class PageRequest(server.Request):
    """A request whose body is dropped, since no page reads one."""

    def gotLength(self, length):
        super().gotLength(0)

    def handleContentChunk(self, data):
        pass


class Page(resource.Resource):
    """A plain-text page with a callback for its content.

    :param read: called for each request; returns (status, bytes).
    """

    isLeaf = True

    def __init__(self, read):
        super().__init__()
        self._read = read

    def render_GET(self, request):
        """Sets the status and content type, and returns the body."""
        status, body = self._read()
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return body


def site(path, read):
    """Returns a :class:`twisted.web.server.Site` with one page.

    :param path: path of the page in bytes, such as ``/metrics``.
    :param read: see :class:`Page`.
    """
    root = parent = resource.Resource()
    *directories, name = path.strip(b"/").split(b"/")
    for directory in directories:
        child = resource.Resource()
        parent.putChild(directory, child)
        parent = child
    parent.putChild(name, Page(read))
    page_site = server.Site(root, requestFactory=PageRequest)
    page_site.noisy = False
    # The load balancer's readiness checks would fill the log.
    page_site.log = lambda request: None
    return page_site
