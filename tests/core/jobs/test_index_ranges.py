"""Sets of indices kept as ranges."""

import unittest
from random import Random

from lagoonshelf_core.jobs.index_ranges import IndexRanges


class IndexRangesTest(unittest.TestCase):
    """Guards against ranges that are merged wrongly: a task would be lost or run again."""

    def test_it_agrees_with_a_set(self) -> None:
        for seed in range(50):
            rng = Random(seed)
            ranges, expected = IndexRanges(), set()
            for _ in range(60):
                index = rng.randrange(40)
                ranges.add(index)
                expected.add(index)
                restored = IndexRanges(ranges.rows())
                for found in (ranges, restored):
                    self.assertEqual({n for n in range(42) if n in found}, expected)
                    self.assertEqual(len(found), len(expected))
                    for start in range(42):
                        absent = next(n for n in range(start, 100) if n not in expected)
                        self.assertEqual(found.next_absent(start), absent)
                rows = ranges.rows()
                self.assertTrue(all(a[1] + 1 < b[0] for a, b in zip(rows, rows[1:], strict=False)))
