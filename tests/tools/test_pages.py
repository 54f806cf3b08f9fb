"""Tests of the generated documentation pages."""

import unittest
from pathlib import Path

from lagoonshelf_core.errors import ResultCode
from tools.result_codes import render as render_codes
from tools.settings_page import render as render_settings

DOCS = Path(__file__).parents[2] / "docs"


class GeneratedPagesTest(unittest.TestCase):
    """Pages generated from tables in the code."""

    def test_result_codes_agree_with_the_table(self) -> None:
        """Guards against a page that was not regenerated."""
        self.assertEqual((DOCS / "result-codes.md").read_text(), render_codes())

    def test_settings_agree_with_the_table(self) -> None:
        """Guards against a page that was not regenerated."""
        self.assertEqual((DOCS / "settings.md").read_text(), render_settings())

    def test_result_code_numbers_are_unique(self) -> None:
        """Guards against two result codes with the same number."""
        numbers = [code.number for code in ResultCode]
        self.assertEqual(len(numbers), len(set(numbers)))
