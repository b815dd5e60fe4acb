"""Detection of instance incarnations that have certainly ended.

Silence does not distinguish a dead process from a paused one or a network
partition. A process has certainly ended once it has announced that it leaves,
once a later incarnation has started under its name, or once it has been
missing from the platform's list for longer than the list lags.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Departure:
    """An incarnation of an instance that has ended."""

    instance: str
    incarnation: int


class Departures:
    """Tracks which incarnations are live, silent or departed.

    `list_lag_s` is the longest time in seconds by which the platform's list
    lags behind the actual state.

    Examples
    --------
    >>> departures = Departures(list_lag_s=10.0)
    >>> departures.record_live("entry-1", 5)
    ()
    >>> departures.record_live("entry-1", 6)
    (Departure(instance='entry-1', incarnation=5),)
    """

    def __init__(self, list_lag_s: float):
        self.list_lag_s = list_lag_s
        self.newest: dict[str, int] = {}
        self.live: set[str] = set()
        self.unlisted_since: dict[str, float] = {}
        self.departed: set[Departure] = set()

    def record_live(self, instance: str, incarnation: int) -> tuple[Departure, ...]:
        """Record a live incarnation; return the departure that it implies, if any."""
        before = self.newest.get(instance)
        if before is not None and incarnation < before:
            return ()
        self.newest[instance] = incarnation
        self.live.add(instance)
        self.unlisted_since.pop(instance, None)
        if before is None or before == incarnation:
            return ()
        return self._record_departure(instance, before)

    def record_silence(self, instance: str) -> None:
        """Record that an instance is silent, which does not prove a departure."""
        self.live.discard(instance)

    def record_leave(self, instance: str, incarnation: int) -> tuple[Departure, ...]:
        """Record that an incarnation has announced that it leaves."""
        self.live.discard(instance)
        return self._record_departure(instance, incarnation)

    def record_listing(
        self, instances: Iterable[str], now: float
    ) -> tuple[Departure, ...]:
        """Record the instances on the platform's list; return new departures."""
        listed = set(instances)
        departed = []
        for instance, incarnation in self.newest.items():
            if instance in listed or instance in self.live:
                self.unlisted_since.pop(instance, None)
                continue
            unlisted_since = self.unlisted_since.setdefault(instance, now)
            if now - unlisted_since > self.list_lag_s:
                departed.extend(self._record_departure(instance, incarnation))
        return tuple(departed)

    def _record_departure(self, instance, incarnation):
        departure = Departure(instance, incarnation)
        if departure in self.departed:
            return ()
        self.departed = {d for d in self.departed if d.instance != instance}
        self.departed.add(departure)
        return (departure,)
