"""Documentation generators."""
