"""Stand-ins of the platform for tests and the demo."""
