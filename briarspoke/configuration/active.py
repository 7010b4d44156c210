"""The configuration in force at one node."""

from __future__ import annotations

import collections
import logging

from briarspoke.configuration.changes import differences
from briarspoke.configuration.document import ConfigurationDocument

log = logging.getLogger(__name__)

# A watch that starts from an older version gets a snapshot instead of changes.
TRANSITIONS_KEPT = 64


class Transition:
    """A change from one version in force to the next.

    :param differences: list of :class:`briarspoke.configuration.changes.Difference`.
    """

    __slots__ = ("differences", "from_version", "version")

    def __init__(self, *, from_version, version, differences):
        self.from_version = from_version
        self.version = version
        self.differences = differences


class ActiveConfiguration:
    """Holds the document in force at this node and notifies observers of new versions.

    The version in force never decreases.
    """

    __slots__ = ("_observers", "document", "transitions")

    def __init__(self):
        self.document = ConfigurationDocument()
        self.transitions = collections.deque(maxlen=TRANSITIONS_KEPT)
        self._observers = []

    def observe(self, callback):
        """Registers a callback for new versions.

        :param callback: function that is called with this object.
        :returns: function that removes the callback.
        """
        self._observers.append(callback)

        def stop_observing():
            if callback in self._observers:
                self._observers.remove(callback)

        return stop_observing

    def apply(self, document):
        """Puts a document in force if it is newer than the current one.

        :returns: whether the document is now in force.
        :raises ValueError: if a stored resource is invalid.
        """
        if document.version <= self.document.version:
            return False
        document.reuse_checked_resources(self.document)
        document.configuration()
        self.transitions.append(
            Transition(
                from_version=self.document.version,
                version=document.version,
                differences=differences(self.document, document),
            )
        )
        self.document = document
        for observer in list(self._observers):
            try:
                observer(self)
            except Exception:
                # A failing observer must not make an accepted version fail.
                log.exception("configuration: an observer failed")
        return True

    def transitions_since(self, version):
        """Returns the transitions after a version, or None if they are not kept."""
        if version == self.document.version:
            return []
        found = list(self.transitions)
        for index, transition in enumerate(found):
            if transition.from_version == version:
                return found[index:]
        return None
