"""Amounts of worker resources."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of each resource.

    :param cpu_milli: thousandths of a processor core
    :param memory_mib: mebibytes
    :param accelerators: whole devices
    :param slots: task slots of the executor
    """

    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def scaled(self, factor: int) -> "Resources":
        """Return the amounts multiplied by a whole number.

        :param factor: not negative
        """
        return Resources(
            self.cpu_milli * factor,
            self.memory_mib * factor,
            self.accelerators * factor,
            self.slots * factor,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Return whether no amount exceeds that of ``available``.

        :param available: free amounts
        """
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mib <= available.memory_mib
            and self.accelerators <= available.accelerators
            and self.slots <= available.slots
        )

    def dominant_share(self, total: "Resources") -> float:
        """Return the largest fraction of ``total`` over all resources.

        :param total: capacity; resources with zero capacity are ignored
        """
        shares = [
            used / whole
            for used, whole in (
                (self.cpu_milli, total.cpu_milli),
                (self.memory_mib, total.memory_mib),
                (self.accelerators, total.accelerators),
                (self.slots, total.slots),
            )
            if whole > 0
        ]
        return max(shares, default=0.0)


ZERO_RESOURCES = Resources()
