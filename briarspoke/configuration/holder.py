"""The configuration in force at one node."""

from __future__ import annotations

import collections
import logging

from briarspoke.configuration.changes import differences
from briarspoke.configuration.document import ConfigurationDocument

log = logging.getLogger(__name__)

# Watches that ask for an older version get a snapshot instead of changes.
TRANSITIONS_KEPT = 64


class Transition:
    """The step from one version in force to the next.

    :param differences: list of :class:`briarspoke.configuration.changes.Difference`.
    """

    __slots__ = ("differences", "from_version", "version")

    def __init__(self, *, from_version, version, differences):
        self.from_version = from_version
        self.version = version
        self.differences = differences


class ConfigurationHolder:
    """Holds the document in force; versions only grow."""

    __slots__ = ("_observers", "document", "transitions")

    def __init__(self):
        self.document = ConfigurationDocument()
        self.transitions = collections.deque(maxlen=TRANSITIONS_KEPT)
        self._observers = []

    def observe(self, callback):
        """Calls back with the holder after each new version.

        :returns: function that ends the observation.
        """
        self._observers.append(callback)

        def end():
            if callback in self._observers:
                self._observers.remove(callback)

        return end

    def apply(self, document):
        """Puts a newer document in force; returns False for any other.

        :raises ValueError: if a stored resource has problems.
        """
        if document.version <= self.document.version:
            return False
        document.share(self.document)
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
                # A failing observer must not undo an accepted version.
                log.exception("configuration: an observer failed")
        return True

    def transitions_since(self, version):
        """Returns the transitions after a version, None if they are not kept."""
        if version == self.document.version:
            return []
        found = list(self.transitions)
        for index, transition in enumerate(found):
            if transition.from_version == version:
                return found[index:]
        return None
