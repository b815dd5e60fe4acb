"""Placement by prefix: a function first, corrected by what is heard.

Rendezvous hashing on nested prefixes names the home servers of a prompt, so
that instances agree without talking and a new one places well at once.
Beliefs about caches and queues then choose by expected time.
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
from cassiaford.policy._server_beliefs import ServerBeliefs
from cassiaford.policy._server_load import SentRequest, ServerLoad

BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
DEFAULT_TOKENS_PER_S = 20_000.0
DEFAULT_KNOWN_BLOCKS = 32_768
# Up to this many backend servers are all scored; of more, only candidates.
SCORE_ALL_SERVERS = 16
SPARE_HOMES = 2
SAMPLED_SERVERS = 4
# Computing a token costs later requests too, so it weighs more than a wait.
RECOMPUTE_WEIGHT = 4.0
# How far a home is credited with blocks before its events have been heard.
COLD_CREDIT = 0.8
# After listening this long, a block not heard of is taken to be absent.
LISTENING_S = 20.0
# How far a home is preferred where its cache is known to lack the blocks.
HOME_CREDIT = 0.3
# Random part of a score, so that instances do not all choose alike.
JITTER_S = 0.005
# A server with at most this wait has nothing better to do than recompute.
IDLE_WAIT_S = 0.5


class _Choice(NamedTuple):
    """What sending a request to one backend server would mean."""

    cost: float
    server: str
    held_tokens: int
    wait_s: float
    expected_s: float
    full: bool


_COST = operator.attrgetter("cost")


def create_placement(
    tokens_per_s: float = DEFAULT_TOKENS_PER_S,
    known_blocks: int = DEFAULT_KNOWN_BLOCKS,
) -> "PrefixPlacement":
    """Return a placement policy.

    `tokens_per_s` is the speed at which a backend server is assumed to
    compute prompts until it is known better; `known_blocks` bounds the table
    of blocks.
    """
    return PrefixPlacement(BlockTable(known_blocks), tokens_per_s)


class PrefixPlacement(PlacementPolicy):
    """Places requests where their prefix is, or where it belongs.

    Everything learned may be lost at any time: homes follow from the hashes.
    Block hashes are scoped by customer, model and version, and beliefs are
    dropped with the incarnation of their backend server.

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
        self.beliefs = ServerBeliefs(table, tokens_per_s)
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

        Returns None if no server is usable, or if the best one has its fill
        of waiting requests and no other is idle: computing a prefix again on
        a busy server would cost all others more than this request gains.
        """
        prompt = PromptBlocks(request.chain, self.table)
        homes = self.home_finder.find(prompt, servers, now) if servers else Homes()
        choices = [
            self._choice(request, prompt, view, homes, now, rng)
            for view in self._candidates(prompt, homes, servers, request, now, rng)
        ]
        best = min(choices, key=_COST, default=None)
        if best is not None and best.full:
            idle = [choice for choice in choices if choice.wait_s <= IDLE_WAIT_S]
            best = min(idle, key=_COST, default=None)
        if best is None:
            return None
        cached = min(best.held_tokens, request.prompt_tokens)
        return Placement(best.server, cached, best.expected_s)

    def record_start(
        self, placement: Placement, request: PlacementRequest, now: float
    ) -> None:
        """Expect the prompt's blocks on the server and its work before it."""
        self.record_end(request.request_id, now)
        load = self.beliefs.load_of(placement.server)
        tokens = request.prompt_tokens - placement.cached_tokens
        ahead = load.waiting_tokens(now)
        cached = placement.cached_tokens // BLOCK_TOKENS
        load.add(SentRequest(request, tokens, ahead, now, cached))
        self._server_of[request.request_id] = placement.server
        load.holds_blocks = True
        weight = self.table.weight_at(now)
        self.table.total_weight += weight
        for block in request.chain:
            known = self.table.add(block)
            known.weight += weight
            known.holders |= load.bit

    def record_peer_start(self, server: str, tokens: int, now: float) -> None:
        """Expect a peer's prompt in the queue until a load report holds it."""
        load = self.beliefs.known(server)
        if load is not None:
            load.hear(tokens, now)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Learn the server's speed; its queue is shorter by the prompt."""
        load = self.beliefs.known(self._server_of.pop(request_id, ""))
        sent = load.remove(request_id) if load else None
        if sent is not None:
            load.learn_speed(sent, now)

    def record_end(self, request_id: str, now: float) -> None:
        """Drop what was expected of a request that got no first token."""
        load = self.beliefs.known(self._server_of.pop(request_id, ""))
        sent = load.remove(request_id) if load else None
        if sent is None:
            return
        for block in sent.request.chain[sent.cached_blocks :]:
            known = self.table.find(block)
            if known is not None:
                known.holders &= ~load.bit

    def observe_load(self, server: str, report: LoadReport, now: float) -> None:
        """Take in a load report, unless an earlier incarnation sent it."""
        if self.beliefs.enter(server, report.incarnation, now):
            self.beliefs.load_of(server).take_report(report, now)

    def observe_events(self, server: str, events: CacheEvents, now: float) -> None:
        """Take in cache events of the incarnation that the last report named.

        Reports of a server come in order and events may not, so events alone
        never change a known incarnation. A gap needs no action: a wrong belief
        costs one recomputation, after which it is right.
        """
        load = self.beliefs.load_of(server)
        if load.incarnation is None:
            self.beliefs.enter(server, events.incarnation, now)
        if load.incarnation != events.incarnation:
            return
        if load.listening_since is None:
            load.listening_since = now
        for event in events.events:
            if event.kind is CacheEventKind.STORED:
                self.beliefs.stored(event.block, load)
            else:
                self.beliefs.evicted(event.block, load.bit)

    def remove_server(self, server: str) -> None:
        """Drop every belief about a server that left or came back empty."""
        load = self.beliefs.forget(server)
        for request_id in load.sent if load else ():
            self._server_of.pop(request_id, None)

    @property
    def unfinished(self) -> int:
        """The number of requests sent that have no first token yet."""
        return len(self._server_of)

    def homes(
        self, request: PlacementRequest, servers: Sequence[ServerView], now: float
    ) -> Homes:
        """Return the homes of a request's prompt, whatever their state."""
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
        load = self.beliefs.load_of(name)
        held = prompt.held(load.bit) * BLOCK_TOKENS
        missing_s = max(0, request.prompt_tokens - held) / load.tokens_per_s
        slot_wait_s, full = load.slots_at(view, now)
        wait_s = load.waiting_tokens(now) / load.tokens_per_s + slot_wait_s
        cost = wait_s + RECOMPUTE_WEIGHT * missing_s + JITTER_S * rng.random()
        if name in homes.preferred:
            cost -= RECOMPUTE_WEIGHT * missing_s * _home_credit(load, now)
        return _Choice(cost, name, held, wait_s, wait_s + missing_s, full)

    def _candidates(
        self,
        prompt: PromptBlocks,
        homes: Homes,
        servers: Sequence[ServerView],
        request: PlacementRequest,
        now: float,
        rng: random.Random,
    ) -> Iterable[ServerView]:
        if len(servers) > SCORE_ALL_SERVERS:
            few = self._few_candidates(prompt, homes, servers, now, rng)
            usable = [view for view in few if _is_usable(view, request)]
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
        names.update(dict.fromkeys(self.beliefs.holders(prompt, rng)))
        found = self.home_finder.indexes.find_all(names, servers, now)
        for view in rng.sample(servers, SAMPLED_SERVERS):
            found[view.name] = view
        return found.values()


def _is_usable(view: ServerView, request: PlacementRequest) -> bool:
    if view.suspected or view.in_flight >= view.slots:
        return False
    return view.name not in request.excluded


def _home_credit(load: ServerLoad, now: float) -> float:
    if load.listening_since is None:
        return COLD_CREDIT
    unheard = 1.0 - (now - load.listening_since) / LISTENING_S
    return max(HOME_CREDIT, COLD_CREDIT * unheard)
