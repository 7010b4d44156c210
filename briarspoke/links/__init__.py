"""Authenticated websocket links between entry VMs."""
