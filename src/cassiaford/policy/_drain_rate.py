"""How fast a queue drains while requests have to wait in it."""

import math

# Older observations count by 1/e after this much busy time.
AVERAGING_S = 5.0
# A rate is not relied on before the queue has been busy this long.
MIN_BUSY_S = 1.0


class DrainRate:
    """The rate at which a queue drains, in tokens a second.

    Only the time counts in which requests wait because none can be
    dispatched: an empty queue says nothing of what the servers could do.
    """

    def __init__(self):
        self._busy_since = None
        self._tokens = 0.0
        self._busy_s = 0.0

    @property
    def tokens_per_s(self) -> float | None:
        """The rate, or None if it is not known yet."""
        if self._busy_s < MIN_BUSY_S:
            return None
        return self._tokens / self._busy_s

    def blocked(self, now: float) -> None:
        """Take note that requests wait and none can be dispatched."""
        if self._busy_since is None:
            self._busy_since = now
        self._pass_time(now)

    def took(self, tokens: int, now: float) -> None:
        """Take note that a request was dispatched."""
        if self._busy_since is not None:
            self._pass_time(now)
            self._tokens += tokens

    def emptied(self, now: float) -> None:
        """Take note that nothing waits any more."""
        if self._busy_since is not None:
            self._pass_time(now)
            self._busy_since = None

    def _pass_time(self, now: float) -> None:
        elapsed = max(0.0, now - self._busy_since)
        remaining = math.exp(-elapsed / AVERAGING_S)
        self._tokens *= remaining
        self._busy_s = self._busy_s * remaining + elapsed
        self._busy_since = now
