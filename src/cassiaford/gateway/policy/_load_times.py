"""How long engines are out of use while they load new weights."""

from collections.abc import Hashable, Set

# Assumed until an engine has loaded.
INITIAL_LOAD_S = 1.5
# Weight of the newest load in the average.
NEWEST_WEIGHT = 0.3


class LoadTimes:
    """The engines that load, and when each is expected to be in use again.

    Examples
    --------
    >>> times = LoadTimes()
    >>> times.update({"a"}, now=0.0)
    >>> times.remaining_s("a", now=1.0), times.remaining_s("b", now=1.0)
    (0.5, 1.5)
    """

    def __init__(self):
        self.usual_s = INITIAL_LOAD_S
        self.loading_since: dict[Hashable, float] = {}

    def update(self, out_of_use: Set[Hashable], now: float) -> None:
        """Record which engines are out of use."""
        for key in self.loading_since.keys() - out_of_use:
            took_s = now - self.loading_since.pop(key)
            self.usual_s += NEWEST_WEIGHT * (took_s - self.usual_s)
        for key in out_of_use:
            self.loading_since.setdefault(key, now)

    def remaining_s(self, key: Hashable, now: float) -> float:
        """Return the seconds until an engine has loaded, if it began at once."""
        since = self.loading_since.get(key, now)
        return max(0.0, since + self.usual_s - now)
