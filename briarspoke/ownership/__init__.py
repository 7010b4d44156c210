"""Which backend server owns which partition, and how that changes."""
