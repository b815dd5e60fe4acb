"""Which backend servers a prompt belongs to, and which are believed to hold it.

Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", 1998) ranks the backend servers for a prefix, so that
instances agree without talking.
"""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.policy._block_table import BlockTable, KnownBlock
from cassiaford.policy._placement import ServerView

MAX_HOMES = 16
# A ranking is worked out anew after this time, for servers that have joined.
RANKING_LIFE_S = 1.0
# A longer prefix is a level of its own if it has at most this part of the
# requests of the shorter one, and at least this many recent requests.
LEVEL_RATIO = 0.8
MIN_LEVEL_REQUESTS = 2.0
# Homes for each part of the recent requests that one server's share makes up.
HOMES_PER_SHARE = 1.0


@dataclass(frozen=True)
class Homes:
    """The first `needed` servers of a ranking; the others take over from them."""

    ranking: Sequence[str] = ()
    needed: int = 0


class PromptBlocks:
    """The blocks of one prompt with what is known of them.

    `blocks` has None for an unknown block. `runs` says, longest first, how
    many leading blocks which set of backend servers is believed to hold.
    """

    __slots__ = ("blocks", "chain", "runs")

    def __init__(self, chain: tuple[int, ...], table: BlockTable):
        self.chain = chain
        self.blocks = [table.find(block) for block in chain]
        self.runs = _runs(self.blocks)

    def held(self, bit: int) -> int:
        """Return the number of leading blocks believed to be on a server."""
        for length, holders in self.runs:
            if holders & bit:
                return length
        return 0


class HomeFinder:
    """Finds the homes of prompts among the backend servers of a request."""

    def __init__(self, table: BlockTable):
        self.table = table

    def find(
        self, prompt: PromptBlocks, views: Mapping[str, ServerView], now: float
    ) -> Homes:
        """Return the homes of a prompt, best first.

        Each level of the prompt narrows the choice to as many homes as its
        part of the requests needs, among the homes of the level above.
        """
        if not prompt.chain:
            return Homes()
        weight = self.table.weight_at(now)
        ranking = self._ranking(prompt, 0, views, now)
        needed = len(ranking)
        for index in _levels(prompt.blocks, weight):
            if index:
                ranking = _narrowed(prompt.chain[index], ranking, needed)
            needed = min(needed, self._needed(prompt.blocks[index], len(views)))
            if needed == 1:
                break
        return Homes(ranking, needed)

    def _needed(self, known: KnownBlock | None, servers: int) -> int:
        if known is None or not self.table.total_weight:
            return 1
        share = known.weight / self.table.total_weight
        return 1 + int(share * servers * HOMES_PER_SHARE)

    def _ranking(
        self,
        prompt: PromptBlocks,
        index: int,
        views: Mapping[str, ServerView],
        now: float,
    ) -> Sequence[str]:
        known = prompt.blocks[index]
        if known is None:
            return rank(prompt.chain[index], views)
        if _is_stale(known, views, now):
            known.ranking = rank(prompt.chain[index], views)
            known.ranked_at = now
        return known.ranking


def rank(block: int, names: Sequence[str] | Mapping[str, ServerView]) -> list[str]:
    """Return the first backend servers in rendezvous order for a block."""
    digest = xxhash.xxh3_64_intdigest
    return heapq.nlargest(
        MAX_HOMES, names, key=lambda name: digest(name.encode(), block)
    )


def _narrowed(block: int, ranking: Sequence[str], needed: int) -> list[str]:
    return rank(block, ranking[:needed]) + list(ranking[needed:])


def _is_stale(known: KnownBlock, views: Mapping[str, ServerView], now: float) -> bool:
    ranking = known.ranking
    if not ranking or now - known.ranked_at > RANKING_LIFE_S:
        return True
    return len(ranking) != min(MAX_HOMES, len(views)) or not all(
        name in views for name in ranking
    )


def _levels(blocks: Sequence[KnownBlock | None], weight: float) -> list[int]:
    # The first block stands for the first level, whatever is known of it.
    levels = [0]
    if blocks[0] is None:
        return levels
    above = blocks[0].weight
    for index in range(1, len(blocks)):
        known = blocks[index]
        if known is None or known.weight < MIN_LEVEL_REQUESTS * weight:
            break
        if known.weight <= LEVEL_RATIO * above:
            levels.append(index)
            above = known.weight
    return levels


def _runs(blocks: Sequence[KnownBlock | None]) -> list[tuple[int, int]]:
    # A server that holds a block holds those before it, as engines evict the
    # end of a prompt first; so an event lost in between does no harm.
    runs = []
    found = 0
    for index in range(len(blocks) - 1, -1, -1):
        known = blocks[index]
        if known is not None and known.holders & ~found:
            runs.append((index + 1, known.holders & ~found))
            found |= known.holders
    return runs
