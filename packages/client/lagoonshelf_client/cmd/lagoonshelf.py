"""The command for operators and callers."""

from fire import Fire


def main() -> None:
    """Parse flags and run."""
    Fire({})
