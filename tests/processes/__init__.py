"""Processes of lagoonshelf."""
