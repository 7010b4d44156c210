"""HTTP connections to callers, backend servers, other entry VMs and operators."""
