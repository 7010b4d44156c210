"""Which failed attempts are tried again."""
