"""The entry VM on the platform: forwards requests of callers to backend servers."""
