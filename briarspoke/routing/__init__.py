"""How a request is classified and where it is sent."""
