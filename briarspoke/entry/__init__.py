"""An entry VM on the platform: from callers' connections to the servers."""
