"""Decides how many requests one entry VM may have in flight at servers.

The load that this answers: more requests than the servers' slots, arriving at many
entry VMs that do not tell each other what they send. Each VM keeps to its share of the
slots, so that all of them together do not fill the servers' queues.
"""

from __future__ import annotations

import math

# Requests in flight per slot of a server, for all entry VMs together: one runs and one
# waits at the server, so that a slot is not idle for the round trip between requests.
REQUESTS_PER_SLOT = 2.0
# The same limit for the entry VMs of the server's own zone that prefer the server.
REQUESTS_PER_SLOT_IN_ZONE = 1.5
# Requests in flight at all servers of a service without keys, relative to this entry
# VM's equal share of their slots. Callers are divided unevenly among the VMs, but if
# each VM used a slot of every server, many VMs would overfill a service of few servers.
SERVICE_SHARE_FACTOR = 1.5
# The least that this limit is.
MIN_SERVICE_REQUESTS = 2
# Requests that an entry VM may have in flight at an owner while keys are limited. The
# allowances keep the queues of owners short, so a VM whose share is less than a request
# may have two.
MIN_REQUESTS_WITH_ALLOWANCES = 2


def equal_share(slots, vms):
    """Returns an entry VM's equal share of the requests in flight at servers.

    :param slots: slots of a server, or of several servers together.
    :param vms: number of entry VMs.
    """
    return slots * REQUESTS_PER_SLOT / vms


def is_scarce(slots, vms):
    """Returns whether an equal share of a server is less than two requests."""
    return equal_share(slots, vms) < 2


def owner_limit(slots, vms, *, keys_limited):
    """Returns the most requests in flight at an owner of keys.

    :param keys_limited: whether allowances for hot keys of the service are in force.
    """
    limit = equal_share(slots, vms)
    if keys_limited:
        limit = max(limit, MIN_REQUESTS_WITH_ALLOWANCES)
    return max(1, math.ceil(limit))


def server_limit(slots, vms, *, preferring_vms=None, share=1.0):
    """Returns the most requests in flight at a server of a service without keys.

    :param preferring_vms: number of VMs that prefer the server, this one among them, or
        None if this VM does not prefer it.
    :param share: this VM's share relative to the equal one.
    """
    limit = equal_share(slots, vms) * max(1.0, share)
    if preferring_vms is not None:
        limit = max(limit, slots * REQUESTS_PER_SLOT_IN_ZONE / preferring_vms)
    return max(1, math.ceil(limit))


def service_limit(slots, vms, *, share=1.0):
    """Returns the most requests in flight at all servers of a service without keys.

    :param slots: slots of all usable servers together.
    :param share: this VM's share relative to the equal one.
    """
    limit = SERVICE_SHARE_FACTOR * equal_share(slots, vms) * share
    return max(MIN_SERVICE_REQUESTS, math.ceil(limit))
