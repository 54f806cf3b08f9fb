"""Entry points of the daemon package."""
