"""Scheduling logic of lagoonshelf, without I/O or threads; callers pass in the current time."""
