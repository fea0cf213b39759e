"""Amounts of processors, memory and accelerators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource that a worker offers or a task reserves.

    Attributes:
        millicores: Processor time, in thousandths of a processor.
        memory_mb: Memory, in megabytes.
        accelerators: Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Tells whether every amount is at most that of `room`."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def share_of(self, total: "Resources") -> float:
        """Returns the dominant share: the largest fraction of `total`.

        Args:
            total: The amounts that count as 1. A zero amount is passed over.

        Returns:
            The largest ratio over the three resources, 0.0 for none.
        """
        pairs = (
            (self.millicores, total.millicores),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max((a / b for a, b in pairs if b > 0), default=0.0)


ZERO = Resources()
