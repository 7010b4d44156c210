"""Admission control: limits, queues and slots that decide which requests run."""
