"""Benchmarks; ``python -m bench`` runs them."""
