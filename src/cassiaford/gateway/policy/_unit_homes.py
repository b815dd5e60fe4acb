"""Which engines hold which units of placement, as the fleet has told."""

import collections
from collections.abc import Hashable, Mapping

import xxhash

from cassiaford.gateway.policy._generation import GenerationRequest

# An engine is taken to hold a unit for this long after its last use there.
KNOWN_FOR_S = 10.0
# A unit still in use is told to peers again after this time.
TELL_AGAIN_S = 4.0
# A unit still in use is saved again after this time, before the store that
# keeps prefixes for engines drops it.
SAVE_AGAIN_S = 8.0
# Units remembered; those used longest ago are forgotten first.
MOST_UNITS = 8192


class UnitHomes:
    """Remembers where units were placed, by this instance and its peers.

    Examples
    --------
    >>> homes = UnitHomes()
    >>> homes.hear([(7, "engine-1")], now=0.0)
    >>> homes.emptied("engine-1")
    >>> homes.units[7]
    {}
    """

    def __init__(self):
        self.units: collections.OrderedDict[int, dict[Hashable, float]] = (
            collections.OrderedDict()
        )
        self.first_levels: dict[tuple[bytes, Hashable], float] = {}
        self.told_at: dict[tuple[int, Hashable], float] = {}
        self.saved_at: dict[int, float] = {}
        self.expired_at = 0.0
        self.to_tell: list[tuple[int, Hashable]] = []

    def engines(self, unit: bytes, now: float) -> dict[Hashable, float]:
        """Return the engines that hold a unit, and when each was last used."""
        known = self.units.get(_digest(unit), {})
        return {key: at for key, at in known.items() if now - at < KNOWN_FOR_S}

    def unsaved(self, request: GenerationRequest, now: float) -> bool:
        """Return whether a unit is to be kept outside the engines with this request.

        The whole prompt is kept, so one whose own part is long would push out
        more than it adds.
        """
        if not request.levels or request.prompt_tokens > 2 * request.shared_tokens:
            return False
        saved_at = self.saved_at.get(_digest(request.unit), -SAVE_AGAIN_S)
        return now - saved_at >= SAVE_AGAIN_S

    def kept(
        self,
        request: GenerationRequest,
        key: Hashable,
        homes: Mapping[Hashable, object],
        now: float,
    ) -> int:
        """Return the shared tokens that an engine is taken to hold."""
        if key in homes:
            return request.shared_tokens
        if not request.levels:
            return 0
        first = request.levels[0]
        used_at = self.first_levels.get((first.key, key))
        recent = used_at is not None and now - used_at < KNOWN_FOR_S
        return first.tokens if recent else 0

    def placed(self, request: GenerationRequest, key: Hashable, now: float) -> None:
        """Take note of a placement, and tell peers what is new to them."""
        if not request.levels:
            return
        unit = _digest(request.unit)
        self._use(unit, key, now)
        self.first_levels[request.levels[0].key, key] = now
        if now - self.told_at.get((unit, key), -TELL_AGAIN_S) >= TELL_AGAIN_S:
            self.told_at[unit, key] = now
            self.to_tell.append((unit, key))

    def saved(self, request: GenerationRequest, now: float) -> None:
        """Take note that a request's prompt is being saved."""
        self.saved_at[_digest(request.unit)] = now

    def hear(self, placements: list[tuple[int, Hashable]], now: float) -> None:
        """Take in what a peer has placed."""
        for unit, key in placements:
            self._use(unit, key, now)
            self.told_at[unit, key] = now

    def take_to_tell(self) -> list[tuple[int, Hashable]]:
        """Return what peers have not been told yet, once."""
        told, self.to_tell = self.to_tell, []
        return told

    def emptied(self, key: Hashable) -> None:
        """Forget what an engine held."""
        for engines in self.units.values():
            engines.pop(key, None)
        for known in (self.first_levels, self.told_at):
            for pair in [pair for pair in known if pair[1] == key]:
                del known[pair]

    def expire(self, now: float) -> None:
        """Forget what was not used for long, at most once a while."""
        if now - self.expired_at < KNOWN_FOR_S:
            return
        self.expired_at = now
        for known, kept_s in (
            (self.first_levels, KNOWN_FOR_S),
            (self.told_at, TELL_AGAIN_S),
            (self.saved_at, SAVE_AGAIN_S),
        ):
            for key in [key for key, at in known.items() if now - at >= kept_s]:
                del known[key]

    def _use(self, unit, key, now):
        self.units.setdefault(unit, {})[key] = now
        self.units.move_to_end(unit)
        while len(self.units) > MOST_UNITS:
            gone, engines = self.units.popitem(last=False)
            self.saved_at.pop(gone, None)
            for engine in engines:
                self.told_at.pop((gone, engine), None)


def _digest(unit):
    return xxhash.xxh32_intdigest(unit)
