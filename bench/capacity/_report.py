"""Results of the capacity measurements, as the capacity page lists them."""

from dataclasses import dataclass

from bench.capacity._sizes import (
    MAX_BYTES_PER_S,
    MAX_CORE_FRACTION,
    MAX_KEY_VALUE_READS_PER_S,
    MAX_KEY_VALUE_WRITES_PER_S,
    MAX_MEMORY_BYTES,
)
from bench.slopes import Slope


@dataclass(frozen=True)
class RoleCost:
    """The cost of one role for an instance in a fleet of the target size.

    None stands for a cost that the role does not have. `note` names assumptions
    behind the costs, or says what does not fit.
    """

    role: str
    memory_bytes: float | None
    core_share: float | None
    bytes_per_s: float | None
    writes_per_s: float | None
    reads_per_s: float | None
    note: str

    @property
    def fits(self) -> bool:
        """Whether each cost alone stays within the whole budget of an instance."""
        costs = (
            (self.memory_bytes, MAX_MEMORY_BYTES),
            (self.core_share, MAX_CORE_FRACTION),
            (self.bytes_per_s, MAX_BYTES_PER_S),
            (self.writes_per_s, MAX_KEY_VALUE_WRITES_PER_S),
            (self.reads_per_s, MAX_KEY_VALUE_READS_PER_S),
        )
        return all(cost is None or cost <= limit for cost, limit in costs)


@dataclass(frozen=True)
class MeasuredSlope:
    """A measured cost by size, with its description and its unit."""

    what: str
    unit: str
    slope: Slope


@dataclass(frozen=True)
class CapacityReport:
    """All slopes and role costs of one run."""

    lines: tuple[MeasuredSlope, ...]
    rows: tuple[RoleCost, ...]
