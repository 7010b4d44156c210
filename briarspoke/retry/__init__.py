"""Decisions on which failed attempts are retried."""
