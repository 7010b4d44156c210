"""Randomised runs of real entry VM processes under faults injected from outside."""
