"""The home servers of a prompt, and the servers that are assumed to cache it.

Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", 1998) ranks the backend servers for a prefix, so that
instances agree without communication.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.policy._block_table import BlockState, BlockTable
from cassiaford.policy._placement import ServerView
from cassiaford.policy._server_index import ServerIndex, ServerIndexes

MAX_HOMES = 16
# A ranking is recomputed after this time, to include servers that have joined.
RANKING_TTL_S = 10.0
# A longer prefix is a level of its own if it has at most this fraction of the
# requests of the shorter one, and at least this many recent requests.
MAX_LEVEL_FRACTION = 0.8
MIN_LEVEL_REQUESTS = 2.0
# Requests of other prefixes that are assumed in addition to those observed.
PRIOR_REQUESTS = 20.0


@dataclass(frozen=True)
class Homes:
    """The homes of a prompt: the first `needed` servers of a ranking.

    The later servers of the ranking replace homes that are unavailable.
    """

    ranking: Sequence[str] = ()
    needed: int = 0
    preferred: frozenset[str] = frozenset()


class PromptBlocks:
    """The blocks of one prompt and their state.

    `blocks` has None for an unknown block. `runs` lists, longest first, how
    many leading blocks are assumed to be cached, with a mask of the servers.
    """

    __slots__ = ("blocks", "chain", "runs")

    def __init__(self, chain: tuple[int, ...], table: BlockTable):
        self.chain = chain
        self.blocks = [table.find(block) for block in chain]
        self.runs = _runs(self.blocks)

    def cached_blocks(self, mask: int) -> int:
        """Return the number of leading blocks that a server is assumed to cache."""
        for length, server_mask in self.runs:
            if server_mask & mask:
                return length
        return 0


class HomeFinder:
    """Finds the homes of prompts among the backend servers of a request."""

    def __init__(self, table: BlockTable):
        self.table = table
        self.indexes = ServerIndexes()

    def find(
        self, prompt: PromptBlocks, servers: Sequence[ServerView], now: float
    ) -> Homes:
        """Return the homes of a prompt, best first.

        Each level of the prompt limits the homes to as many as its fraction of
        the requests needs, chosen among the homes of the previous level.
        """
        if not prompt.chain:
            return Homes()
        weight = self.table.weight_at(now)
        needed = len(servers)
        ranking = ()
        for position in _levels(prompt.blocks, weight):
            if needed > MAX_HOMES or not ranking:
                ranking = self._ranking(prompt, position, servers, now)
            else:
                ranking = _reorder_homes(prompt.chain[position], ranking, needed)
            state = prompt.blocks[position]
            needed = min(needed, self._homes_needed(state, len(servers), weight))
            if needed == 1:
                break
        return Homes(ranking, needed, frozenset(ranking[:needed]))

    def _homes_needed(
        self, state: BlockState | None, servers: int, weight: float
    ) -> int:
        if state is None:
            return 1
        # Without the prior, the first few requests would determine the fraction.
        total = self.table.total_weight + PRIOR_REQUESTS * weight
        return 1 + int(state.weight / total * servers)

    def _ranking(
        self,
        prompt: PromptBlocks,
        position: int,
        servers: Sequence[ServerView],
        now: float,
    ) -> Sequence[str]:
        block, state = prompt.chain[position], prompt.blocks[position]
        if state is None:
            return rank(block, self.indexes.index_of(servers, now))
        if self._is_stale(state, servers, now):
            state.ranking = rank(block, self.indexes.recent_index_of(servers, now))
            state.ranked_at = now
        return state.ranking

    def _is_stale(
        self, state: BlockState, servers: Sequence[ServerView], now: float
    ) -> bool:
        ranking = state.ranking
        if len(ranking) != min(MAX_HOMES, len(servers)):
            return True
        if now - state.ranked_at > RANKING_TTL_S:
            return True
        return len(self.indexes.find_all(ranking, servers, now)) < len(ranking)


def rank(block: int, index: ServerIndex) -> list[str]:
    """Return the first backend servers in rendezvous order for a block.

    If there are many, groups of servers are ranked first, so that only some
    servers have to be hashed.
    """
    ranking = []
    groups = sorted(index.groups, key=lambda group: _digest(group.key, block))
    for group in groups:
        ranking.extend(sorted(group.names, key=lambda name: _digest(name, block)))
        if len(ranking) >= MAX_HOMES:
            break
    return [name.decode() for name in ranking[:MAX_HOMES]]


def _reorder_homes(block: int, ranking: Sequence[str], needed: int) -> list[str]:
    homes = sorted(ranking[:needed], key=lambda name: _digest(name.encode(), block))
    return homes + list(ranking[needed:])


def _digest(name: bytes, block: int) -> int:
    return xxhash.xxh3_64_intdigest(name, block)


def _levels(blocks: Sequence[BlockState | None], weight: float) -> list[int]:
    # The first block is always the first level, even without any state.
    levels = [0]
    if blocks[0] is None:
        return levels
    previous_weight = blocks[0].weight
    min_weight = MIN_LEVEL_REQUESTS * weight
    for position, state in enumerate(blocks):
        if state is None or state.weight < min_weight:
            break
        if state.weight <= MAX_LEVEL_FRACTION * previous_weight:
            levels.append(position)
            previous_weight = state.weight
    return levels


def _runs(blocks: Sequence[BlockState | None]) -> list[tuple[int, int]]:
    # Engines evict the end of a prompt first, so a server that caches a block
    # also caches those before it. A lost event in between thus does no harm.
    runs = []
    found_mask = 0
    for length in range(len(blocks), 0, -1):
        state = blocks[length - 1]
        if state is not None and state.server_mask & ~found_mask:
            runs.append((length, state.server_mask & ~found_mask))
            found_mask |= state.server_mask
    return runs
