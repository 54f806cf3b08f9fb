"""Standins of lagoonshelf."""
