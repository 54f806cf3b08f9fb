"""The lagoonshelf daemon: runtime and adapters around the pure decisions."""
