"""The engines that cache placement prefixes, as the fleet's instances report."""

import collections
from collections.abc import Hashable, Mapping

import xxhash

from cassiaford.gateway.policy._generation import GenerationRequest

# An engine is assumed to cache a prefix for this long after its last use there.
LOCATION_TTL_S = 10.0
# A prefix in use is reported to peers at this interval.
REPORT_INTERVAL_S = 4.0
# A prefix in use is saved at this interval, before the prefix store drops it.
SAVE_INTERVAL_S = 8.0
# Number of prefixes stored; those used longest ago are removed first.
MAX_PREFIXES = 8192


class PrefixLocations:
    """Tracks where this instance and its peers placed prefixes.

    Examples
    --------
    >>> locations = PrefixLocations()
    >>> locations.update_from_peer([(7, "engine-1")], now=0.0)
    >>> locations.remove_engine("engine-1")
    >>> locations.used_at[7]
    {}
    """

    def __init__(self):
        self.used_at: collections.OrderedDict[int, dict[Hashable, float]] = (
            collections.OrderedDict()
        )
        self.shortest_used_at: dict[tuple[bytes, Hashable], float] = {}
        self.reported_at: dict[tuple[int, Hashable], float] = {}
        self.saved_at: dict[int, float] = {}
        self.expired_at = 0.0
        self.unreported: list[tuple[int, Hashable]] = []

    def engines(self, prefix: bytes, now: float) -> dict[Hashable, float]:
        """Return the engines that cache a prefix, and when each last used it."""
        used_at = self.used_at.get(_digest(prefix), {})
        return {key: at for key, at in used_at.items() if now - at < LOCATION_TTL_S}

    def should_save(self, request: GenerationRequest, now: float) -> bool:
        """Return whether to save a request's prompt outside the engines.

        The whole prompt is saved, so one with a long unshared part would evict
        more than it adds.
        """
        if (
            not request.shared_prefixes
            or request.prompt_tokens > 2 * request.shared_tokens
        ):
            return False
        saved_at = self.saved_at.get(
            _digest(request.placement_prefix), -SAVE_INTERVAL_S
        )
        return now - saved_at >= SAVE_INTERVAL_S

    def cached_tokens(
        self,
        request: GenerationRequest,
        key: Hashable,
        locations: Mapping[Hashable, object],
        now: float,
    ) -> int:
        """Return the shared tokens that an engine is expected to cache."""
        if key in locations:
            return request.shared_tokens
        if not request.shared_prefixes:
            return 0
        shortest = request.shared_prefixes[0]
        used_at = self.shortest_used_at.get((shortest.key, key))
        recent = used_at is not None and now - used_at < LOCATION_TTL_S
        return shortest.tokens if recent else 0

    def record_placement(
        self, request: GenerationRequest, key: Hashable, now: float
    ) -> None:
        """Record a placement, and queue it for the next report if it is due."""
        if not request.shared_prefixes:
            return
        prefix = _digest(request.placement_prefix)
        self._record_use(prefix, key, now)
        self.shortest_used_at[request.shared_prefixes[0].key, key] = now
        if (
            now - self.reported_at.get((prefix, key), -REPORT_INTERVAL_S)
            >= REPORT_INTERVAL_S
        ):
            self.reported_at[prefix, key] = now
            self.unreported.append((prefix, key))

    def record_save(self, request: GenerationRequest, now: float) -> None:
        """Record that a request's prompt is being saved."""
        self.saved_at[_digest(request.placement_prefix)] = now

    def update_from_peer(
        self, placements: list[tuple[int, Hashable]], now: float
    ) -> None:
        """Record the placements that a peer reports."""
        for prefix, key in placements:
            self._record_use(prefix, key, now)
            self.reported_at[prefix, key] = now

    def pop_unreported(self) -> list[tuple[int, Hashable]]:
        """Return the placements not yet reported to peers, and clear the list."""
        unreported, self.unreported = self.unreported, []
        return unreported

    def remove_engine(self, key: Hashable) -> None:
        """Remove all prefixes of an engine."""
        for engines in self.used_at.values():
            engines.pop(key, None)
        for times in (self.shortest_used_at, self.reported_at):
            for pair in [pair for pair in times if pair[1] == key]:
                del times[pair]

    def expire(self, now: float) -> None:
        """Remove expired times, at most once in `LOCATION_TTL_S`."""
        if now - self.expired_at < LOCATION_TTL_S:
            return
        self.expired_at = now
        for times, ttl_s in (
            (self.shortest_used_at, LOCATION_TTL_S),
            (self.reported_at, REPORT_INTERVAL_S),
            (self.saved_at, SAVE_INTERVAL_S),
        ):
            for key in [key for key, at in times.items() if now - at >= ttl_s]:
                del times[key]

    def _record_use(self, prefix, key, now):
        self.used_at.setdefault(prefix, {})[key] = now
        self.used_at.move_to_end(prefix)
        while len(self.used_at) > MAX_PREFIXES:
            removed, engines = self.used_at.popitem(last=False)
            self.saved_at.pop(removed, None)
            for engine in engines:
                self.reported_at.pop((removed, engine), None)


def _digest(prefix):
    return xxhash.xxh32_intdigest(prefix)
