"""Tests that run a cell of separate processes."""
