"""Resources that operators declare, and the document that holds them."""
