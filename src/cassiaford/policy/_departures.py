"""Which incarnations of instances are certainly gone.

Silence does not tell a dead process from a paused one or a cut network. A
process is certainly gone once it has said goodbye, once a later incarnation
has started under its name, or once the platform's list has gone without it for
longer than the list lags.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Departure:
    """An incarnation of an instance that runs no more."""

    instance: str
    incarnation: int


class Departures:
    """Tells departures from silence.

    `list_lag_s` is the longest time in seconds by which the platform's list
    is late.

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
        """Take note of a live incarnation; return what departed by it."""
        before = self.newest.get(instance)
        if before is not None and incarnation < before:
            return ()
        self.newest[instance] = incarnation
        self.live.add(instance)
        self.unlisted_since.pop(instance, None)
        if before is None or before == incarnation:
            return ()
        return self._depart(instance, before)

    def record_silence(self, instance: str) -> None:
        """Take note that an instance is not heard, which proves nothing."""
        self.live.discard(instance)

    def record_leave(self, instance: str, incarnation: int) -> tuple[Departure, ...]:
        """Take note of a goodbye."""
        self.live.discard(instance)
        return self._depart(instance, incarnation)

    def record_listing(
        self, instances: Iterable[str], now: float
    ) -> tuple[Departure, ...]:
        """Take in an answer of the platform's list."""
        present = set(instances)
        departed = []
        for instance, incarnation in self.newest.items():
            if instance in present or instance in self.live:
                self.unlisted_since.pop(instance, None)
                continue
            since = self.unlisted_since.setdefault(instance, now)
            if now - since > self.list_lag_s:
                departed.extend(self._depart(instance, incarnation))
        return tuple(departed)

    def _depart(self, instance, incarnation):
        departure = Departure(instance, incarnation)
        if departure in self.departed:
            return ()
        self.departed = {d for d in self.departed if d.instance != instance}
        self.departed.add(departure)
        return (departure,)
