"""Which entry VMs are alive, and how documents spread between them."""
