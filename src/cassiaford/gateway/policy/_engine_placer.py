"""Placement on model engines, by shared prefix and by the fleet's queued work.

Prompts share prefixes of several lengths. The shortest one that covers most of
the shared tokens is the placement prefix: instances report to each other on
which engines they place it, and send its prompts to those engines again. A
prefix that no engine is known to cache is placed by rendezvous hashing and the
engines' load, which gives the same engine on all instances. Each engine has a
virtual clock of prefill work that any instance's placement advances, so all
instances see that a home is busy before it rejects requests.
"""

import math
import random
from collections.abc import Hashable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.gateway.policy._engine_queue import (
    FIRST_TOKEN_LATENCY_S,
    EngineQueue,
    PlacedWork,
)
from cassiaford.gateway.policy._generation import GenerationRequest
from cassiaford.gateway.policy._prefill_speed import PrefillSpeed
from cassiaford.gateway.policy._prefix_locations import PrefixLocations

# A response expected after this fraction of its target is likely to be late;
# each second beyond it costs `LATE_WEIGHT` seconds.
ON_TIME_FRACTION = 0.6
LATE_WEIGHT = 2.0
# Recomputing a shared prefix takes engine time and memory from all later
# requests, so it weighs more than a wait of the same length.
RECOMPUTE_WEIGHT = 12.0
# A fetched prefix takes some time and memory and evicts other prefixes.
FETCH_WEIGHT = 1.0
# Time constant with which recent work decays in the demand for engines.
DEMAND_TIME_CONSTANT_S = 2.0
# With all slots taken, a request waits for another one to end.
SLOT_WAIT_S = 0.05
# Decoding slows as the batch fills.
FULL_BATCH_COST_S = 0.06
# Engines preempt requests when memory runs out, so some of it is left free.
MAX_MEMORY_FRACTION = 0.9
# With more engines than this, only the best ranked ones, the known locations
# and a random sample are scored.
MAX_FULLY_SCORED = 16
RANKED_CANDIDATES = 3
SAMPLED_CANDIDATES = 4
# Breaks ties between engines of equal cost alike on all instances.
RANK_COST_S = 0.002


@dataclass(frozen=True)
class EngineView:
    """An engine that may take a request, and the costs of using it.

    `cost_s` counts for every request, `new_prefix_cost_s` only for placement
    prefixes that the engine does not cache. Cached prefixes belong to one
    `version` of the weights and are fetched at `fetch_tokens_per_s`. Requests
    must be expected to start there by `start_by`.
    """

    key: Hashable
    name: str
    slots: int
    memory_tokens: float
    cost_s: float = 0.0
    new_prefix_cost_s: float = 0.0
    version: int = 0
    fetch_tokens_per_s: float = 0.0
    start_by: float = math.inf


@dataclass(frozen=True)
class Placement:
    """The chosen engine, and the time until its first token is expected.

    `queue_s` of that time is for the work queued before it and `prefill_s` for
    the request's own prefill, which costs as much as computing
    `prefill_tokens`. `source` is an engine that caches what the chosen one
    lacks. `save` says that the prompt is also to be saved outside the engines.
    """

    engine: EngineView
    first_token_s: float
    prefill_s: float
    prefill_tokens: float = 0.0
    queue_s: float = 0.0
    source: Hashable | None = None
    save: bool = False


class EnginePlacer:
    """Tracks the work that the fleet has placed on engines, and places requests.

    Examples
    --------
    >>> placer = EnginePlacer()
    >>> from cassiaford.gateway.policy import Prefix
    >>> prefix = Prefix(b"binder", 5000)
    >>> engines = [EngineView(name, name, 8, 100_000) for name in "ab"]
    >>> request = GenerationRequest("r1", (prefix,), 6000, 40)
    >>> first = placer.place(request, engines, 0.0, random.Random(1))
    >>> second = placer.place(request, engines, 0.0, random.Random(2))
    >>> first.engine == second.engine
    True
    """

    def __init__(self):
        self.queues: dict[Hashable, EngineQueue] = {}
        self.prefix_locations = PrefixLocations()
        self.speed = PrefillSpeed()
        # Peers that have sent a complete report. Work on an engine that they
        # did not name before is new.
        self._known_peers: set[str] = set()
        self._recent_work_s = 0.0
        self._recent_work_at = 0.0

    def place(
        self,
        request: GenerationRequest,
        engines: Sequence[EngineView],
        now: float,
        rng: random.Random,
        versions: Mapping[Hashable, int] | None = None,
    ) -> Placement | None:
        """Return the placement with the least cost.

        It is None if no engine has room or none would start the request in time.

        `versions` gives the weights of the engines that may cache prefixes, if
        these are not just the engines that may take the request.
        """
        prefix = request.placement_prefix
        if versions is None:
            versions = {view.key: view.version for view in engines}
        locations = {
            key: (versions[key], used_at)
            for key, used_at in self.prefix_locations.engines(prefix, now).items()
            if key in versions
        }
        ranked = sorted(engines, key=lambda view: _score(prefix, view.name))
        best = None
        min_cost = 0.0
        for rank, view in self._candidates(ranked, locations, rng):
            cost, placement = self._cost(request, view, rank, locations, now)
            if placement is not None and (best is None or cost < min_cost):
                best, min_cost = placement, cost
        return best

    def record_start(
        self, request: GenerationRequest, placement: Placement, now: float
    ) -> None:
        """Record a request that was sent."""
        self._add_demand(placement.prefill_tokens, now)
        tokens = request.prompt_tokens + request.output_tokens
        queue = self._queue(placement.engine.key)
        queue.record_start(request.request_id, tokens, placement.prefill_tokens, now)
        self.prefix_locations.record_placement(request, placement.engine.key, now)
        if placement.save:
            self.prefix_locations.record_save(request, now)

    def record_first_token(self, request_id: str, key: Hashable, now: float) -> None:
        """Correct the estimate of an engine's queue by a first token."""
        queue = self.queues.get(key)
        if queue is not None:
            queue.record_first_token(request_id, now)

    def record_end(self, request_id: str, key: Hashable) -> None:
        """Record the end of a request."""
        queue = self.queues.get(key)
        if queue is not None:
            queue.record_end(request_id)

    def record_rejection(self, request_id: str, placement: Placement) -> None:
        """Remove the work of a request that an engine did not start."""
        queue = self.queues.get(placement.engine.key)
        if queue is not None:
            queue.cancel(request_id)

    def update_from_peer(
        self, peer: str, work: dict[Hashable, PlacedWork], whole: bool, now: float
    ) -> None:
        """Apply a peer's work, on all engines if `whole`, else on changed ones."""
        known = peer in self._known_peers
        for key, placed in work.items():
            self._add_demand(
                self._queue(key).update_from_peer(peer, placed, known, now), now
            )
        if whole:
            self._known_peers.add(peer)
            for key, queue in self.queues.items():
                if key not in work:
                    queue.peer_work.pop(peer, None)

    def remove_peer(self, peer: str) -> None:
        """Remove the running requests of a lost peer; its queued work still counts."""
        self._known_peers.discard(peer)
        self.speed.remove_peer(peer)
        for queue in self.queues.values():
            queue.peer_work.pop(peer, None)

    def clear_cached_prefixes(self, key: Hashable) -> None:
        """Remove the prefixes of an engine that restarted or loaded new weights."""
        self.prefix_locations.remove_engine(key)

    def retain(self, keys: set[Hashable]) -> None:
        """Remove all engines but these and those that still run own requests."""
        for key in set(self.queues) - keys:
            if not self.queues[key].own_requests:
                del self.queues[key]

    def own_work(self) -> dict[Hashable, PlacedWork]:
        """Return what this instance has placed, by engine."""
        return {
            key: queue.own_work()
            for key, queue in self.queues.items()
            if queue.own_sent_tokens or queue.own_requests
        }

    def running_tokens(self, key: Hashable) -> int:
        """Return the tokens of the requests that the fleet runs on an engine."""
        queue = self.queues.get(key)
        return queue.tokens if queue is not None else 0

    def unstarted(self, key: Hashable) -> int:
        """Return how many of the fleet's requests on an engine lack a first token."""
        queue = self.queues.get(key)
        return queue.unstarted if queue is not None else 0

    def demand(self, now: float) -> float:
        """Return how many engines the fleet's recent prompts keep busy."""
        age = max(0.0, now - self._recent_work_at)
        return (
            self._recent_work_s
            * math.exp(-age / DEMAND_TIME_CONSTANT_S)
            / DEMAND_TIME_CONSTANT_S
        )

    def _add_demand(self, prefill_tokens, now):
        age = max(0.0, now - self._recent_work_at)
        work_s = prefill_tokens / self.speed.tokens_per_s
        self._recent_work_s = (
            self._recent_work_s * math.exp(-age / DEMAND_TIME_CONSTANT_S) + work_s
        )
        self._recent_work_at = now

    def _queue(self, key):
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = EngineQueue(self.speed)
        return queue

    def _candidates(self, ranked, locations, rng):
        if len(ranked) <= MAX_FULLY_SCORED:
            return enumerate(ranked)
        chosen = set(range(RANKED_CANDIDATES)) | {
            rng.randrange(RANKED_CANDIDATES, len(ranked))
            for _ in range(SAMPLED_CANDIDATES)
        }
        chosen.update(i for i, view in enumerate(ranked) if view.key in locations)
        return [(rank, ranked[rank]) for rank in sorted(chosen)]

    def _cost(self, request, view, rank, locations, now):
        queue = self._queue(view.key)
        tokens = request.prompt_tokens + request.output_tokens
        running = queue.running
        if running and queue.tokens + tokens > view.memory_tokens * MAX_MEMORY_FRACTION:
            return 0.0, None
        cached = self.prefix_locations.cached_tokens(request, view.key, locations, now)
        lacking = request.shared_tokens - cached
        source = _fetch_source(view, locations) if lacking else None
        speed = self.speed.tokens_per_s
        fetch_s = recompute_s = lacking / speed
        if source is not None and view.fetch_tokens_per_s:
            fetch_s = min(recompute_s, lacking / view.fetch_tokens_per_s)
        unshared = request.prompt_tokens - request.shared_tokens
        prefill_s = unshared / speed + fetch_s
        queue_s = max(0.0, queue.busy_until - now)
        if running >= view.slots:
            queue_s += SLOT_WAIT_S * (1 + (running - view.slots) / view.slots)
        first_s = FIRST_TOKEN_LATENCY_S + queue_s + prefill_s
        if now + first_s > view.start_by:
            return 0.0, None
        cost = first_s + view.cost_s + rank * RANK_COST_S
        if request.target_s:
            late_s = first_s - ON_TIME_FRACTION * request.target_s
            cost += LATE_WEIGHT * max(0.0, late_s)
        if view.key not in locations:
            cost += view.new_prefix_cost_s
        if source is not None:
            # Without a source, every engine would have to compute the prefix.
            fetched = fetch_s < recompute_s
            cost += (FETCH_WEIGHT if fetched else RECOMPUTE_WEIGHT) * recompute_s
        cost += FULL_BATCH_COST_S * running / view.slots
        save = self.prefix_locations.should_save(request, now)
        return cost, Placement(
            view, first_s, prefill_s, prefill_s * speed, queue_s, source, save
        )


def _fetch_source(view, locations):
    """Return the other engine that used a prefix last, under the same weights."""
    used = [
        (used_at, key)
        for key, (version, used_at) in locations.items()
        if version == view.version and key != view.key
    ]
    return max(used)[1] if used else None


def _score(prefix, name):
    return xxhash.xxh3_64_intdigest(prefix + name.encode())
