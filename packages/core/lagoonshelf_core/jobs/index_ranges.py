"""Set of indices as ranges, whose size does not grow with the number of consecutive indices."""

from bisect import bisect_right
from collections.abc import Iterable


class IndexRanges:
    """Set of non-negative integers, kept as sorted ranges that do not touch."""

    def __init__(self, rows: Iterable[Iterable[int]] = ()) -> None:
        """Create a set from ranges as ``rows`` returns them."""
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self._count = 0
        for first, last in rows:
            self._firsts.append(first)
            self._lasts.append(last)
            self._count += last - first + 1

    def __contains__(self, index: int) -> bool:
        """Return whether an index is in the set."""
        position = bisect_right(self._firsts, index) - 1
        return position >= 0 and index <= self._lasts[position]

    def __len__(self) -> int:
        """Return the number of indices."""
        return self._count

    def add(self, index: int) -> None:
        """Add an index."""
        position = bisect_right(self._firsts, index)
        if position and index <= self._lasts[position - 1]:
            return
        self._count += 1
        follows = position > 0 and self._lasts[position - 1] == index - 1
        precedes = position < len(self._firsts) and self._firsts[position] == index + 1
        if follows and precedes:
            self._lasts[position - 1] = self._lasts.pop(position)
            del self._firsts[position]
        elif follows:
            self._lasts[position - 1] = index
        elif precedes:
            self._firsts[position] = index
        else:
            self._firsts.insert(position, index)
            self._lasts.insert(position, index)

    def next_absent(self, index: int) -> int:
        """Return the first index from this one on that is not in the set."""
        position = bisect_right(self._firsts, index) - 1
        if position < 0 or index > self._lasts[position]:
            return index
        return self._lasts[position] + 1

    def rows(self) -> list[tuple[int, int]]:
        """Return the ranges, first and last index of each."""
        return list(zip(self._firsts, self._lasts, strict=True))
