"""Exclusive ownership of key ranges and the control of it."""
