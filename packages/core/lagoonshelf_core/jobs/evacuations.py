"""Evacuated failure domains: which they are, and how old that knowledge is."""

from collections.abc import Iterable

from lagoonshelf_core.ids import FailureDomain
from lagoonshelf_core.jobs.progress import Run


class Evacuations:
    """Failure domains that get nothing to start, as a reading and the changes since show them.

    :ivar max_age_ms: age from which another domain may have been evacuated since, 0 if domains
        cannot be evacuated
    :ivar revision: revision of the store that ``domains`` reflects
    :ivar confirmed_ms: time at which ``domains`` was certainly current
    :ivar moving: runs that are being moved out of the domains, by name, and since when
    """

    def __init__(self) -> None:
        """Start without domains, and with knowledge that is too old for any start."""
        self.max_age_ms = 0
        self.domains: set[FailureDomain] = set()
        self.revision = 0
        self.confirmed_ms: int | None = None
        self.moving: dict[str, tuple[Run, int]] = {}

    def replace(
        self, domains: Iterable[FailureDomain], revision: int, sent_ms: int
    ) -> tuple[set[FailureDomain], set[FailureDomain]]:
        """Apply a reading of all evacuations; return the domains that were added and removed.

        A reading that was overtaken by a later change is ignored, as it may lack that change.

        :param sent_ms: when the reading was requested; the answer may have waited for any time
        """
        if revision < self.revision:
            return set(), set()
        found = set(domains)
        added, removed = found - self.domains, self.domains - found
        self.domains = found
        self.confirm(revision, sent_ms)
        return added, removed

    def change(self, domain: FailureDomain, revision: int, *, is_evacuated: bool) -> bool:
        """Apply a change unless a reading has included it; return whether it made a difference."""
        if revision <= self.revision or is_evacuated == (domain in self.domains):
            return False
        if is_evacuated:
            self.domains.add(domain)
        else:
            self.domains.discard(domain)
        return True

    def confirm(self, revision: int, sent_ms: int) -> None:
        """Record that all changes up to a revision have been applied.

        :param sent_ms: when they were requested
        """
        self.revision = max(self.revision, revision)
        self.confirmed_ms = max(self.confirmed_ms or 0, sent_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the domains were certainly current."""
        return now_ms - (self.confirmed_ms or 0)

    def is_current(self, now_ms: int, *, is_store_down: bool) -> bool:
        """Return whether starts may go by what is known.

        :param is_store_down: the store answers no member, so that nobody can evacuate a domain
        """
        if not self.max_age_ms:
            return True
        if self.confirmed_ms is None:
            return False
        return is_store_down or self.age_ms(now_ms) <= self.max_age_ms

    def find_obstacle(self, domain: FailureDomain, now_ms: int, *, is_store_down: bool) -> str:
        """Return why nothing may be started in a domain, "" if something may."""
        if domain in self.domains:
            return "its failure domain is evacuated"
        if not self.is_current(now_ms, is_store_down=is_store_down):
            return "its failure domain may be evacuated"
        return ""
