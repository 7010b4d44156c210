"""Applies changed settings without a restart."""

from __future__ import annotations

import logging
import os

from briarspoke.entry import settings as entry_settings
from briarspoke.errors import BriarspokeError

log = logging.getLogger(__name__)

# The file may change without a signal; a check costs one system call.
CHECK_INTERVAL_S = 2.0
# Other settings need a restart: open sockets, keys in the store or the current window
# of the retry budget depend on them.
CHANGEABLE = frozenset(
    {
        "drain_s",
        "evacuation_s",
        "grace_s",
        "hedge_share",
        "log_level",
        "max_hold_s",
        "never_held_back",
        "retry_ratio",
        "retry_slack",
    }
)


class SettingsReload:
    """Reloads the settings file after a signal or a change of the file.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    :param path: path of the settings file.
    """

    def __init__(self, *, node, path):
        self._node = node
        self._path = path
        self._last_file_state = self._file_state()

    def _file_state(self):
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def check(self):
        """Reloads the file if it has changed; called periodically."""
        file_state = self._file_state()
        if file_state is not None and file_state != self._last_file_state:
            self.reload()

    def reload(self):
        """Reloads the file; if it has problems, all settings stay as they are."""
        self._last_file_state = self._file_state()
        try:
            new = entry_settings.load(self._path)
        except BriarspokeError as error:
            log.error(
                "entry: settings kept, the file cannot be used error=%r", str(error)
            )
            return
        old = self._node.settings
        changed = [
            name
            for name in new.__slots__
            if str(getattr(new, name)) != str(getattr(old, name))
        ]
        for name in CHANGEABLE.intersection(changed):
            setattr(old, name, getattr(new, name))
        logging.getLogger().setLevel(old.log_level.upper())
        self._node.settings_changed()
        log.info(
            "entry: settings read changed=%s need_restart=%s",
            ",".join(sorted(CHANGEABLE.intersection(changed))) or "-",
            ",".join(sorted(set(changed) - CHANGEABLE)) or "-",
        )
