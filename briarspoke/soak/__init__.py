"""Randomised runs of real entry VMs against faults from outside them."""
