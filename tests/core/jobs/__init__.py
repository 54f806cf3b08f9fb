"""Tests of multi-step jobs."""
