"""Exclusive ownership of partitions by backend servers and its changes."""
