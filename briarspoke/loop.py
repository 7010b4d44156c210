"""Installs the event loop: Twisted's asyncio reactor on uvloop."""

from __future__ import annotations

import asyncio
import sys


def install():
    """Installs the reactor and returns it; a second call returns the same."""
    if "twisted.internet.reactor" not in sys.modules:
        import uvloop
        from twisted.internet import asyncioreactor

        loop = uvloop.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor
