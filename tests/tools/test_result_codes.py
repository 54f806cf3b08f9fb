"""Tests of the result code page."""

import unittest
from pathlib import Path

from lagoonshelf_core.errors import ResultCode

from tools.result_codes import render

PAGE = Path(__file__).parents[2] / "docs" / "result-codes.md"


class ResultCodesTest(unittest.TestCase):
    """The code table and its page."""

    def test_page_agrees_with_the_table(self) -> None:
        """Guards against a page that was not regenerated."""
        self.assertEqual(PAGE.read_text(), render())

    def test_numbers_are_unique(self) -> None:
        """Guards against two codes with one number."""
        numbers = [code.number for code in ResultCode]
        self.assertEqual(len(numbers), len(set(numbers)))
