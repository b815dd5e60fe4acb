"""What the capacity page says of each role."""

from dataclasses import dataclass

from bench.capacity._sizes import (
    BYTES_PER_S,
    CORE_SHARE,
    KEY_VALUE_READS_PER_S,
    KEY_VALUE_WRITES_PER_S,
    MEMORY_BYTES,
)
from bench.slopes import Slope


@dataclass(frozen=True)
class Row:
    """What one role costs an instance at the full size.

    None stands for a cost that the role has not got. `note` says what the
    figure rests on, or what does not fit.
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
        """Whether no single cost is over the whole budget."""
        costs = (
            (self.memory_bytes, MEMORY_BYTES),
            (self.core_share, CORE_SHARE),
            (self.bytes_per_s, BYTES_PER_S),
            (self.writes_per_s, KEY_VALUE_WRITES_PER_S),
            (self.reads_per_s, KEY_VALUE_READS_PER_S),
        )
        return all(cost is None or cost <= limit for cost, limit in costs)


@dataclass(frozen=True)
class Line:
    """One measured slope, with what it measures and its unit."""

    what: str
    unit: str
    slope: Slope


@dataclass(frozen=True)
class Measured:
    """All slopes and rows of one run."""

    lines: tuple[Line, ...]
    rows: tuple[Row, ...]
