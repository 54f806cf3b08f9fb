"""Tests of routing and of the assignment of partitions."""

import unittest

from lagoonshelf_core.ids import MemberId
from lagoonshelf_core.routing import preferred_owners


class PreferredOwnersTest(unittest.TestCase):
    """Assignment of partitions to members."""

    def test_no_member_owns_more_than_the_maximum_load(self) -> None:
        """Guards against one member that owns most partitions."""
        members = [MemberId(f"m{number}") for number in range(7)]
        owners = preferred_owners(members, 16)
        self.assertEqual(len(owners), 16)
        load = [list(owners.values()).count(member) for member in members]
        self.assertLessEqual(max(load), 3)

    def test_no_members_means_no_owner(self) -> None:
        """Guards against a division by zero when no member is live."""
        self.assertEqual(preferred_owners([], 4), {})
