"""The values that keys have had lately."""

from collections.abc import Hashable, Mapping

# Ended values are kept for longer than any request lasts.
ENDED_KEPT_S = 3600.0


class RecentValues:
    """The values that each key has, and those that it had lately.

    Examples
    --------
    >>> versions = RecentValues()
    >>> versions.update({"chat": {"v1"}}, now=0.0)
    >>> versions.update({"chat": {"v2"}}, now=10.0)
    >>> sorted(versions.since("chat", 5.0)), sorted(versions.since("chat", 11.0))
    (['v1', 'v2'], ['v2'])
    >>> versions.since("chat", -1.0) is None
    True
    """

    def __init__(self):
        self.started_at: float | None = None
        self.current: dict[Hashable, frozenset] = {}
        self.ended: dict[tuple[Hashable, Hashable], float] = {}
        self.added_at: dict[Hashable, float] = {}

    def update(self, values: Mapping[Hashable, set], now: float) -> None:
        """Set the values of all keys."""
        current = {key: frozenset(held) for key, held in values.items()}
        if self.started_at is None:
            self.started_at = now
        else:
            added = dict.fromkeys(current.keys() - self.current.keys(), now)
            self.added_at = {**self.added_at, **added}
        for key, held in self.current.items():
            for value in held - current.get(key, frozenset()):
                self.ended[key, value] = now
        self.current = current
        oldest = now - ENDED_KEPT_S
        self.ended = {pair: at for pair, at in self.ended.items() if at >= oldest}
        self.added_at = {k: at for k, at in self.added_at.items() if k in current}
        self.started_at = max(self.started_at, oldest)

    def has_since(self, key: Hashable, moment: float) -> bool:
        """Return whether a key has been there all the time since a moment."""
        if self.started_at is None or key not in self.current:
            return False
        return self.added_at.get(key, self.started_at) <= moment

    def since(self, key: Hashable, moment: float) -> frozenset | None:
        """Return the values that a key has had since a moment, None if unknown."""
        if self.started_at is None or self.started_at > moment:
            return None
        ended = {v for (k, v), at in self.ended.items() if k == key and at >= moment}
        return self.current.get(key, frozenset()) | ended
