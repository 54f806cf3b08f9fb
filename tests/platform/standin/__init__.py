"""A small stand-in of the platform: store, executors, advice and settings files."""
