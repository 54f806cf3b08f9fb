"""Tests that the platform's names stay in its folder."""

import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
# Names of calls, headers and fields on the platform's wire that no other code uses.
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
# The adapter's share of the code.
MAX_ADAPTER_SHARE = 1 / 6


class NamesTest(unittest.TestCase):
    """The adapter translates, and nothing else knows what it translates from."""

    def test_no_other_package_uses_the_platforms_names(self) -> None:
        """Its wire names are decoded once."""
        for path in (ROOT / "packages").rglob("*.py"):
            text = path.read_text()
            for name in PLATFORM_NAMES:
                self.assertNotIn(name, text, f"{path.relative_to(ROOT)}")

    def test_no_other_package_imports_the_adapter(self) -> None:
        """It depends on the product, not the other way round."""
        for path in (ROOT / "packages").rglob("*.py"):
            self.assertNotIn("lagoonshelf_platform", path.read_text(), str(path))

    def test_the_adapter_is_small(self) -> None:
        """Decisions, state and recovery belong to the product."""
        adapter = _lines(ROOT / "platform")
        self.assertLess(adapter, MAX_ADAPTER_SHARE * (adapter + _lines(ROOT / "packages")))

    def test_the_folder_is_no_package(self) -> None:
        """Python has a standard module of its name."""
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())


def _lines(folder: Path) -> int:
    return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))
