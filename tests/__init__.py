"""Tests of all packages; run them with ``python -m tests``."""
