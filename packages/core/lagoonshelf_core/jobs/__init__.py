"""Multi-step jobs: their specification, progress and scheduling."""
