"""Stand-in for the platform: store, executors, advice service and settings files."""
