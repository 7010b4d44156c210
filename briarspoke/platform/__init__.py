"""Clients of the platform: key-value service and VM list."""
