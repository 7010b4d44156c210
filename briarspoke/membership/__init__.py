"""Membership of the entry VMs and the documents that spread between them."""
