"""Tests that only the adapter depends on the platform's names."""

import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
# Names of calls, headers and fields of the platform's wire format that only the adapter may use.
PLATFORM_NAMES = (
    "lagoonshelf/kv-",
    "run-start",
    "run-stop",
    "machine-move",
    "machine-upkeep",
    "fencing_token",
    "ack_cursor",
    "frontend_addr",
    "slack_factor",
    "target_latency",
    "expected_revision",
    "Lagoonshelf-Deadline",
    "Lagoonshelf-Expected",
    "anti_affinity",
    "gang_timeout",
)
# Largest share of the code that the adapter may have.
MAX_ADAPTER_SHARE = 1 / 6


class NamesTest(unittest.TestCase):
    """Guards against dependencies on the platform outside the adapter."""

    def test_no_other_package_uses_the_platforms_names(self) -> None:
        """The wire names may occur only where they are decoded."""
        for path in (ROOT / "packages").rglob("*.py"):
            text = path.read_text()
            for name in PLATFORM_NAMES:
                self.assertNotIn(name, text, f"{path.relative_to(ROOT)}")

    def test_no_other_package_imports_the_adapter(self) -> None:
        """The adapter depends on the other packages, never the reverse."""
        for path in (ROOT / "packages").rglob("*.py"):
            self.assertNotIn("lagoonshelf_platform", path.read_text(), str(path))

    def test_the_adapter_is_small(self) -> None:
        """Decisions, state and recovery belong in the other packages."""
        adapter = _lines(ROOT / "platform")
        self.assertLess(adapter, MAX_ADAPTER_SHARE * (adapter + _lines(ROOT / "packages")))

    def test_the_folder_is_no_package(self) -> None:
        """A package named ``platform`` would shadow Python's standard module."""
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())


def _lines(folder: Path) -> int:
    return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))
