"""Placement on model engines, by prefix and by the fleet's work before it.

Prompts share prefixes in levels. The level that holds most of what a prompt
shares is its unit of placement: instances tell each other on which engines
they place a unit, and send its prompts there again. A unit that no engine is
known to hold goes where rendezvous hashing and the engines' load point, which
is the same engine for all instances. Each engine has a virtual clock of
prefill work: what any instance places there moves it on, so a home that is
busy is seen to be busy by all before it turns requests away.
"""

import math
import random
from collections.abc import Hashable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.gateway.policy._engine_queue import (
    FIRST_TOKEN_S,
    EngineQueue,
    PlacedWork,
)
from cassiaford.gateway.policy._generation import GenerationRequest
from cassiaford.gateway.policy._reading_speed import ReadingSpeed
from cassiaford.gateway.policy._unit_homes import UnitHomes

# An answer is likely to be late if it is expected after this share of its
# target; each second beyond weighs this much.
ON_TIME_SHARE = 0.6
LATE_WEIGHT = 2.0
# Reading shared parts again takes engine time and memory from all later
# requests, so it weighs more than a wait of the same length.
REREAD_WEIGHT = 12.0
# A copy from another engine takes a little time and memory that evicts others.
COPY_WEIGHT = 1.0
# The demand for engines is taken over about this time.
DEMAND_S = 2.0
# With all slots taken, a request waits for one to end.
SLOT_WAIT_S = 0.05
# Decoding slows as the batch fills.
FULL_BATCH_COST_S = 0.06
# Engines preempt requests when memory runs out, so the last part is left free.
MEMORY_SHARE = 0.9
# Of more engines than this, only homes and a sample are scored.
SCORE_ALL = 16
HOMES = 3
SAMPLED = 4
# Where homes cost the same, all instances prefer the same ones.
RANK_COST_S = 0.002


@dataclass(frozen=True)
class EngineView:
    """An engine that may take a request, and what is known against it.

    `new_unit_cost_s` counts only for units that it does not hold. Prefixes are
    held for one `version` of the weights, and moved at `fetch_tokens_per_s`.
    """

    key: Hashable
    name: str
    slots: int
    memory_tokens: int
    cost_s: float = 0.0
    new_unit_cost_s: float = 0.0
    version: int = 0
    fetch_tokens_per_s: float = 0.0


@dataclass(frozen=True)
class Placement:
    """The engine chosen, and when its first token is expected.

    `queue_s` of that time is for the work before it, and `prefill_s` for its own,
    which is as much as `read_tokens`. `source` is an engine that
    holds what the chosen one lacks, and `save` says
    that the unit is to be kept outside the engines too.
    """

    engine: EngineView
    first_token_s: float
    prefill_s: float
    read_tokens: float = 0.0
    queue_s: float = 0.0
    source: Hashable | None = None
    save: bool = False


class EnginePlacer:
    """Knows what the fleet has placed on each engine, and places requests.

    Examples
    --------
    >>> book = EnginePlacer()
    >>> from cassiaford.gateway.policy import Prefix
    >>> prefix = Prefix(b"binder", 5000)
    >>> engines = [EngineView(name, name, 8, 100_000) for name in "ab"]
    >>> request = GenerationRequest("r1", (prefix,), 6000, 40)
    >>> first = book.place(request, engines, 0.0, random.Random(1))
    >>> second = book.place(request, engines, 0.0, random.Random(2))
    >>> first.engine == second.engine
    True
    """

    def __init__(self):
        self.engines: dict[Hashable, EngineQueue] = {}
        self.prefix_locations = UnitHomes()
        self.speed = ReadingSpeed()
        # Peers whose work is known in full, so that a first mention is new work.
        self._known_peers: set[str] = set()
        self._recent_work_s = 0.0
        self._recent_at = 0.0

    def place(
        self,
        request: GenerationRequest,
        engines: Sequence[EngineView],
        now: float,
        rng: random.Random,
        versions: Mapping[Hashable, int] | None = None,
    ) -> Placement | None:
        """Return the engine with the least cost, or None if none has room.

        `versions` tells the weights of engines that may hold prefixes, if
        these are not just those that may take the request.
        """
        unit = request.unit
        if versions is None:
            versions = {view.key: view.version for view in engines}
        homes = {
            key: (versions[key], used_at)
            for key, used_at in self.prefix_locations.engines(unit, now).items()
            if key in versions
        }
        ranked = sorted(engines, key=lambda view: _score(unit, view.name))
        best = None
        least = 0.0
        for rank, view in self._candidates(ranked, homes, rng):
            cost, placement = self._cost(request, view, rank, homes, now)
            if placement is not None and (best is None or cost < least):
                best, least = placement, cost
        return best

    def started(
        self, request: GenerationRequest, placement: Placement, now: float
    ) -> None:
        """Take note of a request that was sent."""
        self._note_work(placement.read_tokens, now)
        tokens = request.prompt_tokens + request.output_tokens
        engine = self._engine(placement.engine.key)
        engine.send(request.request_id, tokens, placement.read_tokens, now)
        self.prefix_locations.placed(request, placement.engine.key, now)
        if placement.save:
            self.prefix_locations.saved(request, now)

    def first_token(self, request_id: str, key: Hashable, now: float) -> None:
        """Learn from an answer that begins how far its engine is."""
        engine = self.engines.get(key)
        if engine is not None:
            engine.begun(request_id, now)

    def ended(self, request_id: str, key: Hashable) -> None:
        """Take note that a request has ended."""
        engine = self.engines.get(key)
        if engine is not None:
            engine.end(request_id)

    def turned_away(self, request_id: str, placement: Placement) -> None:
        """Take back the work of a request that an engine did not start."""
        engine = self.engines.get(placement.engine.key)
        if engine is not None:
            engine.take_back(request_id)

    def update_from_peer(
        self, peer: str, work: dict[Hashable, PlacedWork], whole: bool, now: float
    ) -> None:
        """Take in what a peer has placed, on all engines or those that changed."""
        known = peer in self._known_peers
        for key, placed in work.items():
            self._note_work(self._engine(key).hear(peer, placed, known, now), now)
        if whole:
            self._known_peers.add(peer)
            for key, engine in self.engines.items():
                if key not in work:
                    engine.peers.pop(peer, None)

    def remove_peer(self, peer: str) -> None:
        """Forget the requests of a peer that is gone; its work still counts."""
        self._known_peers.discard(peer)
        self.speed.forget_peer(peer)
        for engine in self.engines.values():
            engine.peers.pop(peer, None)

    def clear_cached_prefixes(self, key: Hashable) -> None:
        """Forget what an engine kept, after new weights or a restart."""
        self.prefix_locations.emptied(key)

    def retain(self, keys: set[Hashable]) -> None:
        """Forget all engines but these and those that still run requests."""
        for key in set(self.engines) - keys:
            if not self.engines[key].own:
                del self.engines[key]

    def own_work(self) -> dict[Hashable, PlacedWork]:
        """Return what this instance has placed, by engine."""
        return {
            key: engine.own_work()
            for key, engine in self.engines.items()
            if engine.own_sent_tokens or engine.own
        }

    def running_tokens(self, key: Hashable) -> int:
        """Return the tokens of the requests that the fleet runs on an engine."""
        engine = self.engines.get(key)
        return engine.tokens if engine is not None else 0

    def unstarted(self, key: Hashable) -> int:
        """Return how many requests the fleet has on an engine without an answer."""
        engine = self.engines.get(key)
        return engine.unstarted if engine is not None else 0

    def demand(self, now: float) -> float:
        """Return how many engines the fleet's recent prompts keep busy."""
        age = max(0.0, now - self._recent_at)
        return self._recent_work_s * math.exp(-age / DEMAND_S) / DEMAND_S

    def _note_work(self, read_tokens, now):
        age = max(0.0, now - self._recent_at)
        work_s = read_tokens / self.speed.tokens_per_s
        self._recent_work_s = self._recent_work_s * math.exp(-age / DEMAND_S) + work_s
        self._recent_at = now

    def _engine(self, key):
        engine = self.engines.get(key)
        if engine is None:
            engine = self.engines[key] = EngineQueue(self.speed)
        return engine

    def _candidates(self, ranked, homes, rng):
        if len(ranked) <= SCORE_ALL:
            return enumerate(ranked)
        chosen = set(range(HOMES)) | {
            rng.randrange(HOMES, len(ranked)) for _ in range(SAMPLED)
        }
        chosen.update(i for i, view in enumerate(ranked) if view.key in homes)
        return [(rank, ranked[rank]) for rank in sorted(chosen)]

    def _cost(self, request, view, rank, homes, now):
        engine = self._engine(view.key)
        tokens = request.prompt_tokens + request.output_tokens
        running = engine.running
        if running and engine.tokens + tokens > view.memory_tokens * MEMORY_SHARE:
            return 0.0, None
        kept = self.prefix_locations.kept(request, view.key, homes, now)
        lacking = request.shared_tokens - kept
        source = _source(view, homes) if lacking else None
        speed = self.speed.tokens_per_s
        fetch_s = reread_s = lacking / speed
        if source is not None and view.fetch_tokens_per_s:
            fetch_s = min(reread_s, lacking / view.fetch_tokens_per_s)
        own = request.prompt_tokens - request.shared_tokens
        prefill_s = own / speed + fetch_s
        queue_s = max(0.0, engine.busy_until - now)
        if running >= view.slots:
            queue_s += SLOT_WAIT_S * (1 + (running - view.slots) / view.slots)
        first_s = FIRST_TOKEN_S + queue_s + prefill_s
        cost = first_s + view.cost_s + rank * RANK_COST_S
        if request.target_s:
            late_s = first_s - ON_TIME_SHARE * request.target_s
            cost += LATE_WEIGHT * max(0.0, late_s)
        if view.key not in homes:
            cost += view.new_unit_cost_s
        if source is not None:
            # Another engine holds these parts; else they must be read anyway.
            moved = fetch_s < reread_s
            cost += (COPY_WEIGHT if moved else REREAD_WEIGHT) * reread_s
        cost += FULL_BATCH_COST_S * running / view.slots
        save = self.prefix_locations.unsaved(request, now)
        return cost, Placement(
            view, first_s, prefill_s, prefill_s * speed, queue_s, source, save
        )


def _source(view, homes):
    """Return the engine that has held a unit last, under the same weights."""
    held = [
        (used_at, key)
        for key, (version, used_at) in homes.items()
        if version == view.version and key != view.key
    ]
    return max(held)[1] if held else None


def _score(prefix, name):
    return xxhash.xxh3_64_intdigest(prefix + name.encode())
