"""Placement by prompt prefix.

Rendezvous hashing on nested prefixes determines the home servers of a prompt,
so that instances agree without communication and a new instance places well at
once. The estimated caches and queues then select a server by expected time.
"""

import operator
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cassiaford.engines import (
    BLOCK_BYTES,
    BYTES_PER_TOKEN,
    CacheEventKind,
    CacheEvents,
    LoadReport,
)
from cassiaford.policy._block_table import BlockTable
from cassiaford.policy._placement import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServerView,
)
from cassiaford.policy._prefix_homes import HomeFinder, Homes, PromptBlocks
from cassiaford.policy._server_load import SentRequest, ServerLoad
from cassiaford.policy._server_states import ServerStates

BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
DEFAULT_TOKENS_PER_S = 20_000.0
DEFAULT_MAX_BLOCKS = 32_768
# Up to this many backend servers are all scored; among more, only candidates.
MAX_SERVERS_TO_SCORE_ALL = 16
SPARE_HOMES = 2
SAMPLED_SERVERS = 4
# Computing tokens also delays later requests, so it costs more than waiting.
RECOMPUTE_WEIGHT = 4.0
# The fraction of missing blocks credited to a home before any of its events.
COLD_CREDIT_FRACTION = 0.8
# Once events have arrived for this long, blocks without one are assumed absent.
EVENT_WARMUP_S = 20.0
# The fraction credited to a home whose cache is known to lack the blocks.
HOME_CREDIT_FRACTION = 0.3
# The random part of a score, so that instances do not all choose the same server.
JITTER_S = 0.005
# A server with at most this wait counts as idle and may recompute a prefix.
IDLE_WAIT_S = 0.5


class _Choice(NamedTuple):
    """The expected effects of sending a request to one backend server."""

    cost: float
    server: str
    cached_tokens: int
    wait_s: float
    expected_s: float
    is_full: bool


_COST = operator.attrgetter("cost")


def create_placement(
    tokens_per_s: float = DEFAULT_TOKENS_PER_S,
    max_blocks: int = DEFAULT_MAX_BLOCKS,
) -> "PrefixPlacement":
    """Return a placement policy.

    `tokens_per_s` is the assumed prefill speed of a backend server until it is
    measured; `max_blocks` bounds the table of blocks.
    """
    return PrefixPlacement(BlockTable(max_blocks), tokens_per_s)


class PrefixPlacement(PlacementPolicy):
    """Places requests where their prefix is cached, or on one of its homes.

    All state may be lost at any time, since the homes follow from the hashes.
    Block hashes are scoped by customer, model and version. The state of a
    backend server is discarded when its incarnation ends.

    Examples
    --------
    >>> policy = create_placement()
    >>> request = PlacementRequest("r1", 2048, 16, chain=(11, 12))
    >>> servers = [ServerView("a", slots=8), ServerView("b", slots=8)]
    >>> first = policy.place(request, servers, 0.0, random.Random(1))
    >>> first.server == policy.place(request, servers, 0.0, random.Random(2)).server
    True
    """

    def __init__(self, table: BlockTable, tokens_per_s: float):
        self.table = table
        self.server_states = ServerStates(table, tokens_per_s)
        self.home_finder = HomeFinder(table)
        self._server_of = {}

    def place(
        self,
        request: PlacementRequest,
        servers: Sequence[ServerView],
        now: float,
        rng: random.Random,
    ) -> Placement | None:
        """Return the usable backend server with the lowest expected cost.

        Returns None if no server is usable, or if the best one may queue no
        more requests and no other is idle: recomputing a prefix on a busy
        server would cost the other requests more than this one gains.
        """
        prompt = PromptBlocks(request.chain, self.table)
        homes = self.home_finder.find(prompt, servers, now) if servers else Homes()
        choices = [
            self._choice(request, prompt, view, homes, now, rng)
            for view in self._candidates(prompt, homes, servers, request, now, rng)
        ]
        best = min(choices, key=_COST, default=None)
        if best is not None and best.is_full:
            idle = [choice for choice in choices if choice.wait_s <= IDLE_WAIT_S]
            best = min(idle, key=_COST, default=None)
        if best is None:
            return None
        cached = min(best.cached_tokens, request.prompt_tokens)
        return Placement(best.server, cached, best.expected_s)

    def record_start(
        self, placement: Placement, request: PlacementRequest, now: float
    ) -> None:
        """Record a request sent to a server, which will then cache its blocks."""
        self.record_end(request.request_id, now)
        load = self.server_states.get_or_add(placement.server)
        tokens = request.prompt_tokens - placement.cached_tokens
        tokens_ahead = load.waiting_tokens(now)
        cached = placement.cached_tokens // BLOCK_TOKENS
        load.add(SentRequest(request, tokens, tokens_ahead, now, cached))
        self._server_of[request.request_id] = placement.server
        load.may_have_blocks = True
        weight = self.table.weight_at(now)
        self.table.total_weight += weight
        for block in request.chain:
            state = self.table.add(block)
            state.weight += weight
            state.server_mask |= load.mask

    def record_peer_start(self, server: str, tokens: int, now: float) -> None:
        """Add a peer's prompt to a server's queue until a report includes it."""
        load = self.server_states.get(server)
        if load is not None:
            load.add_peer_prompt(tokens, now)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Remove the prompt from its server's queue and update the server's speed."""
        load = self.server_states.get(self._server_of.pop(request_id, ""))
        sent = load.remove(request_id) if load else None
        if sent is not None:
            load.update_speed(sent, now)

    def record_end(self, request_id: str, now: float) -> None:
        """Remove a request; if it got no first token, its blocks are not cached."""
        load = self.server_states.get(self._server_of.pop(request_id, ""))
        sent = load.remove(request_id) if load else None
        if sent is None:
            return
        for block in sent.request.chain[sent.cached_blocks :]:
            state = self.table.find(block)
            if state is not None:
                state.server_mask &= ~load.mask

    def observe_load(self, server: str, report: LoadReport, now: float) -> None:
        """Apply a load report, unless an earlier incarnation sent it."""
        if self.server_states.enter_incarnation(server, report.incarnation, now):
            self.server_states.get_or_add(server).apply_report(report, now)

    def observe_events(self, server: str, events: CacheEvents, now: float) -> None:
        """Apply cache events of the incarnation that the last report named.

        The reports of a server arrive in order but its events may not, so events
        never change a known incarnation. A gap in them needs no action: a wrong
        estimate costs one recomputation, which corrects it.
        """
        load = self.server_states.get_or_add(server)
        if load.incarnation is None:
            self.server_states.enter_incarnation(server, events.incarnation, now)
        if load.incarnation != events.incarnation:
            return
        if load.events_since is None:
            load.events_since = now
        for event in events.events:
            if event.kind is CacheEventKind.STORED:
                self.server_states.record_cached(event.block, load)
            else:
                self.server_states.record_evicted(event.block, load.mask)

    def remove_server(self, server: str) -> None:
        """Remove all state of a server that left or restarted empty."""
        load = self.server_states.remove(server)
        for request_id in load.sent if load else ():
            self._server_of.pop(request_id, None)

    @property
    def awaiting_first_token(self) -> int:
        """The number of sent requests that have no first token yet."""
        return len(self._server_of)

    def homes(
        self, request: PlacementRequest, servers: Sequence[ServerView], now: float
    ) -> Homes:
        """Return the homes of a request's prompt, also those that are unusable now."""
        prompt = PromptBlocks(request.chain, self.table)
        return self.home_finder.find(prompt, servers, now)

    def _choice(
        self,
        request: PlacementRequest,
        prompt: PromptBlocks,
        view: ServerView,
        homes: Homes,
        now: float,
        rng: random.Random,
    ) -> _Choice:
        name = view.name
        load = self.server_states.get_or_add(name)
        cached_tokens = prompt.cached_blocks(load.mask) * BLOCK_TOKENS
        missing_s = max(0, request.prompt_tokens - cached_tokens) / load.tokens_per_s
        slot_wait_s, is_full = load.slot_wait(view, now)
        wait_s = load.waiting_tokens(now) / load.tokens_per_s + slot_wait_s
        cost = wait_s + RECOMPUTE_WEIGHT * missing_s + JITTER_S * rng.random()
        if name in homes.preferred:
            cost -= RECOMPUTE_WEIGHT * missing_s * _home_credit(load, now)
        return _Choice(cost, name, cached_tokens, wait_s, wait_s + missing_s, is_full)

    def _candidates(
        self,
        prompt: PromptBlocks,
        homes: Homes,
        servers: Sequence[ServerView],
        request: PlacementRequest,
        now: float,
        rng: random.Random,
    ) -> Iterable[ServerView]:
        if len(servers) > MAX_SERVERS_TO_SCORE_ALL:
            candidates = self._few_candidates(prompt, homes, servers, now, rng)
            usable = [view for view in candidates if _is_usable(view, request)]
            if usable:
                return usable
        return [view for view in servers if _is_usable(view, request)]

    def _few_candidates(
        self,
        prompt: PromptBlocks,
        homes: Homes,
        servers: Sequence[ServerView],
        now: float,
        rng: random.Random,
    ) -> Iterable[ServerView]:
        names = dict.fromkeys(homes.ranking[: homes.needed + SPARE_HOMES])
        names.update(
            dict.fromkeys(self.server_states.sample_caching_servers(prompt, rng))
        )
        found = self.home_finder.indexes.find_all(names, servers, now)
        for view in rng.sample(servers, SAMPLED_SERVERS):
            found[view.name] = view
        return found.values()


def _is_usable(view: ServerView, request: PlacementRequest) -> bool:
    if view.suspected or view.in_flight >= view.slots:
        return False
    return view.name not in request.excluded


def _home_credit(load: ServerLoad, now: float) -> float:
    if load.events_since is None:
        return COLD_CREDIT_FRACTION
    unobserved = 1.0 - (now - load.events_since) / EVENT_WARMUP_S
    return max(HOME_CREDIT_FRACTION, COLD_CREDIT_FRACTION * unobserved)
