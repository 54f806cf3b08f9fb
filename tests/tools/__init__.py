"""Tests of the documentation generators."""
