"""Core of lagoonshelf."""
