"""Baseline placement policies for comparison."""

import bisect
import random
from collections.abc import Sequence

import xxhash

from bench.model import Fleet
from cassiaford.engines import LoadReport
from cassiaford.policy import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)

RING_POINTS = 100


class RandomPlacement(PlacementPolicy):
    """Chooses a usable backend server at random."""

    def place(self, request, servers, now, rng) -> Placement | None:
        """Return a usable backend server chosen at random."""
        usable = usable_servers(request, servers)
        return Placement(rng.choice(usable).name) if usable else None


class RoundRobinPlacement(PlacementPolicy):
    """Chooses the usable backend servers in turn."""

    def __init__(self, rng: random.Random):
        self.position = rng.randrange(1000)

    def place(self, request, servers, now, rng) -> Placement | None:
        """Return the next usable backend server."""
        usable = usable_servers(request, servers)
        if not usable:
            return None
        self.position += 1
        return Placement(usable[self.position % len(usable)].name)


class LeastLoadPlacement(PlacementPolicy):
    """Chooses the backend server with the fewest requests.

    A server's load is the last reported one, or the number of this instance's own
    requests in flight there if that is higher.
    """

    def __init__(self):
        self.reported_loads = {}

    def place(self, request, servers, now, rng) -> Placement | None:
        """Return the usable backend server with the lowest load."""
        usable = usable_servers(request, servers)
        if not usable:
            return None
        best = min(usable, key=lambda view: (self._load(view), rng.random()))
        return Placement(best.name)

    def observe_load(self, server: str, report: LoadReport, now: float) -> None:
        """Store the load of the latest report."""
        self.reported_loads[server] = report.running + report.waiting

    def _load(self, view: ServerView) -> int:
        return max(view.in_flight, self.reported_loads.get(view.name, 0))


class ConsistentHashPlacement(PlacementPolicy):
    """Chooses the server that follows the first prompt block on a hash ring."""

    def __init__(self):
        self.ring = []

    def place(self, request, servers, now, rng) -> Placement | None:
        """Return the first usable backend server on the ring."""
        usable = {view.name for view in usable_servers(request, servers)}
        if not usable:
            return None
        if not self.ring:
            self.ring = sorted(
                (_digest(f"{view.name}:{point}"), view.name)
                for view in servers
                for point in range(RING_POINTS)
            )
        key = request.chain[0] if request.chain else _digest(request.request_id)
        start = bisect.bisect(self.ring, (key, ""))
        for index in range(len(self.ring)):
            name = self.ring[(start + index) % len(self.ring)][1]
            if name in usable:
                return Placement(name)
        return None


class OraclePlacement(PlacementPolicy):
    """Places requests by the actual caches and queues of all engines.

    It chooses the engine with the least work before the first token. In that sum,
    the request's own uncached tokens are multiplied by `recompute_weight`.
    """

    def __init__(self, fleet: Fleet, recompute_weight: float):
        self.fleet = fleet
        self.recompute_weight = recompute_weight

    def place(self, request, servers, now, rng) -> Placement | None:
        """Return the engine with the lowest actual cost."""
        engines = self.fleet.engines
        usable = [
            view.name
            for view in servers
            if engines[view.name].up and view.name not in request.excluded
        ]
        if not usable:
            return None
        name = min(usable, key=lambda name: (self._cost(request, name), rng.random()))
        return Placement(name)

    def _cost(self, request: PlacementRequest, name: str) -> float:
        engine = self.fleet.engines[name]
        missing = engine.tokens_to_compute(request)
        tokens = engine.queued_tokens + self.recompute_weight * missing
        slots = engine.parameters.slots
        full = engine.running + len(engine.waiting) >= slots
        return tokens / engine.parameters.prefill_tokens_per_s + full


def usable_servers(
    request: PlacementRequest, servers: Sequence[ServerView]
) -> list[ServerView]:
    """Return the backend servers that may take a request."""
    return [
        view
        for view in servers
        if not view.suspected
        and view.in_flight < view.slots
        and view.name not in request.excluded
    ]


def _digest(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
