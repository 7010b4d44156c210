"""Which request runs next, and which is refused, when capacity is short."""
