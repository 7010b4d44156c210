"""The read-only configuration that a node applies."""

from __future__ import annotations

import re

from briarspoke.configuration.resources import classes_by_kind
from briarspoke.schema import OPTION_TYPE, OPTION_UNKNOWN, Problem


class Configuration:
    """All resources at one version.

    :param version: version of the configuration document.
    """

    __slots__ = (
        "limits_by_name",
        "servers_by_name",
        "services_by_name",
        "version",
        "zones_by_name",
    )

    def __init__(
        self,
        *,
        version=0,
        zones_by_name=None,
        services_by_name=None,
        servers_by_name=None,
        limits_by_name=None,
    ):
        self.version = version
        self.zones_by_name = zones_by_name or {}
        self.services_by_name = services_by_name or {}
        self.servers_by_name = servers_by_name or {}
        self.limits_by_name = limits_by_name or {}

    @classmethod
    def from_json(cls, value, problems, *, version=0):
        """Returns the configuration from ``{kind: [resource, ...]}``.

        Invalid resources are left out.

        :param problems: list that problems are appended to.
        """
        resources = {f"{kind}_by_name": {} for kind in classes_by_kind}
        for kind, entries in value.items():
            if kind not in classes_by_kind:
                problems.append(
                    Problem(
                        path=f"$.{kind}",
                        code=OPTION_UNKNOWN,
                        message="is not a kind of resource",
                    )
                )
                continue
            if not isinstance(entries, list):
                problems.append(
                    Problem(path=f"$.{kind}", code=OPTION_TYPE, message="is not a list")
                )
                continue
            by_name = resources[f"{kind}_by_name"]
            for index, entry in enumerate(entries):
                found = classes_by_kind[kind].from_json(
                    entry, f"$.{kind}[{index}]", problems
                )
                if found is not None:
                    by_name[found.name] = found
        return cls(version=version, **resources)

    def as_json(self):
        """Returns ``{kind: [resource, ...]}``, sorted by name."""
        return {
            kind: [
                resource.as_json()
                for _, resource in sorted(getattr(self, f"{kind}_by_name").items())
            ]
            for kind in classes_by_kind
        }

    def servers_of(self, service_name):
        """Returns the servers of a service, sorted by name."""
        return [
            server
            for _, server in sorted(self.servers_by_name.items())
            if server.service == service_name
        ]


def split_address(address):
    """Returns (host, port) of an address such as ``1.2.3.4:80`` or ``[::1]:80``."""
    host, _, port = address.rpartition(":")
    return re.sub(r"^\[|\]$", "", host), int(port)
