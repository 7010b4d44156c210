"""HTTP towards callers, backend servers, peers and operators."""
