"""Configuration resources, the document that stores them, and changes to it."""
