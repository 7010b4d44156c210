"""Arithmetic of key ranges, both ends inclusive."""

from __future__ import annotations


def subtract_ranges(first, last, others):
    """Returns the (first, last) parts of a range that no other range overlaps.

    :param others: (first, last) of the other ranges.
    """
    pieces = [(first, last)]
    for other_first, other_last in others:
        remaining = []
        for low, high in pieces:
            if other_last < low or other_first > high:
                remaining.append((low, high))
                continue
            if low < other_first:
                remaining.append((low, other_first - 1))
            if high > other_last:
                remaining.append((other_last + 1, high))
        pieces = remaining
    return pieces
