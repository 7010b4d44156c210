"""Clients of the platform's services: key-value store, VM list, grants to servers."""
