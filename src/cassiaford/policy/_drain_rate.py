"""Measurement of the rate at which a queue drains while requests wait."""

import math

# The weight of an observation falls to 1/e after this much busy time.
TIME_CONSTANT_S = 5.0
# The rate counts as unknown until the queue has been busy this long.
MIN_BUSY_S = 1.0


class DrainRate:
    """The rate at which a queue drains, in tokens a second.

    Only time in which requests wait because none can be dispatched counts: an
    empty queue does not show what the servers could process.
    """

    def __init__(self):
        self._busy_since = None
        self._tokens = 0.0
        self._busy_s = 0.0

    @property
    def tokens_per_s(self) -> float | None:
        """The rate, or None if it is unknown."""
        if self._busy_s < MIN_BUSY_S:
            return None
        return self._tokens / self._busy_s

    def record_blocked(self, now: float) -> None:
        """Record that requests wait and none can be dispatched."""
        if self._busy_since is None:
            self._busy_since = now
        self._advance(now)

    def record_dispatch(self, tokens: int, now: float) -> None:
        """Record that a request was dispatched."""
        if self._busy_since is not None:
            self._advance(now)
            self._tokens += tokens

    def record_empty(self, now: float) -> None:
        """Record that no request waits any more."""
        if self._busy_since is not None:
            self._advance(now)
            self._busy_since = None

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._busy_since)
        remaining = math.exp(-elapsed / TIME_CONSTANT_S)
        self._tokens *= remaining
        self._busy_s = self._busy_s * remaining + elapsed
        self._busy_since = now
