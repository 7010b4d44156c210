"""Pages for the balancer and for metrics."""

from __future__ import annotations

from twisted.web import resource, server


class Page(resource.Resource):
    """A page whose content a function makes.

    :param read: returns (status, bytes).
    """

    isLeaf = True

    def __init__(self, read):
        super().__init__()
        self._read = read

    def render_GET(self, request):
        """Returns the page."""
        status, body = self._read()
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return body


def site(path, read):
    """Returns the site with one page.

    :param path: path of the page in bytes, such as ``/metrics``.
    """
    root = parent = resource.Resource()
    *directories, name = path.strip(b"/").split(b"/")
    for directory in directories:
        child = resource.Resource()
        parent.putChild(directory, child)
        parent = child
    parent.putChild(name, Page(read))
    made = server.Site(root)
    made.noisy = False
    # The balancer's questions would fill the log.
    made.log = lambda request: None
    return made
