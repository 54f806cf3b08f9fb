"""Caller library and operator command of lagoonshelf."""
