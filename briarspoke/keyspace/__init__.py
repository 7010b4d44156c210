"""Exclusive ownership of key ranges, and the controller that assigns them."""
