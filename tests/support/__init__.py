"""Support of lagoonshelf."""
