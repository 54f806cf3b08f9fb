"""Entry points of the client package."""
