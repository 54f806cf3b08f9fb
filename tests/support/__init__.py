"""Fakes, builders and helpers shared by the tests."""
