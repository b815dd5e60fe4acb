"""A hybrid logical clock, which orders causes before their effects.

It follows Kulkarni and others, "Logical Physical Clocks" (2014): a timestamp is
the largest wall-clock time seen so far and a counter that breaks ties. It stays
close to the wall clock and yet exceeds every timestamp received in a message.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

# Received timestamps further ahead come from a broken clock and are ignored.
MAX_CLOCK_SKEW_MS = 60_000


@dataclass(frozen=True, order=True)
class Timestamp:
    """A point in time: milliseconds since the epoch and a tie-breaker."""

    wall_ms: int
    counter: int


class HybridClock:
    """Creates timestamps that exceed all created or observed before.

    Examples
    --------
    >>> clock = HybridClock(lambda: 1.0)
    >>> clock.now() < clock.now()
    True
    """

    def __init__(self, wall_clock: Callable[[], float]):
        self.wall_clock = wall_clock
        self.last = Timestamp(0, 0)
        self._lock = threading.Lock()

    def now(self) -> Timestamp:
        """Return a timestamp for a local event."""
        with self._lock:
            self.last = self._next_timestamp(self.last)
            return self.last

    def observe(self, received: Timestamp) -> None:
        """Advance the clock to a timestamp received in a message."""
        with self._lock:
            if received.wall_ms <= self._wall_ms() + MAX_CLOCK_SKEW_MS:
                self.last = max(self.last, received)

    def _next_timestamp(self, previous):
        wall_ms = self._wall_ms()
        if wall_ms > previous.wall_ms:
            return Timestamp(wall_ms, 0)
        return Timestamp(previous.wall_ms, previous.counter + 1)

    def _wall_ms(self):
        return int(self.wall_clock() * 1000)
