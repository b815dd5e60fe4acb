"""Which backend servers a prompt belongs to, and which are believed to hold it.

Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", 1998) ranks the backend servers for a prefix, so that
instances agree without talking.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.policy._block_table import BlockTable, KnownBlock
from cassiaford.policy._placement import ServerView
from cassiaford.policy._server_index import ServerIndex, ServerIndexes

MAX_HOMES = 16
# A ranking is worked out anew after this time, for servers that have joined.
RANKING_LIFE_S = 10.0
# A longer prefix is a level of its own if it has at most this part of the
# requests of the shorter one, and at least this many recent requests.
LEVEL_RATIO = 0.8
MIN_LEVEL_REQUESTS = 2.0
# Requests of other prefixes that are assumed before any are seen.
FEW_REQUESTS = 20.0


@dataclass(frozen=True)
class Homes:
    """The homes of a prompt are the first `needed` servers of a ranking.

    The others of the ranking take over from them.
    """

    ranking: Sequence[str] = ()
    needed: int = 0
    preferred: frozenset[str] = frozenset()


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
        self.indexes = ServerIndexes()

    def find(
        self, prompt: PromptBlocks, servers: Sequence[ServerView], now: float
    ) -> Homes:
        """Return the homes of a prompt, best first.

        Each level of the prompt narrows the choice to as many homes as its
        part of the requests needs, among the homes of the level above.
        """
        if not prompt.chain:
            return Homes()
        weight = self.table.weight_at(now)
        needed = len(servers)
        ranking = ()
        for number in _levels(prompt.blocks, weight):
            if needed > MAX_HOMES or not ranking:
                ranking = self._ranking(prompt, number, servers, now)
            else:
                ranking = _narrowed(prompt.chain[number], ranking, needed)
            known = prompt.blocks[number]
            needed = min(needed, self._needed(known, len(servers), weight))
            if needed == 1:
                break
        return Homes(ranking, needed, frozenset(ranking[:needed]))

    def _needed(self, known: KnownBlock | None, servers: int, weight: float) -> int:
        if known is None:
            return 1
        # A share says little before some requests have been seen.
        total = self.table.total_weight + FEW_REQUESTS * weight
        return 1 + int(known.weight / total * servers)

    def _ranking(
        self,
        prompt: PromptBlocks,
        number: int,
        servers: Sequence[ServerView],
        now: float,
    ) -> Sequence[str]:
        block, known = prompt.chain[number], prompt.blocks[number]
        if known is None:
            return rank(block, self.indexes.index_of(servers, now))
        if self._is_stale(known, servers, now):
            known.ranking = rank(block, self.indexes.fresh_index_of(servers, now))
            known.ranked_at = now
        return known.ranking

    def _is_stale(
        self, known: KnownBlock, servers: Sequence[ServerView], now: float
    ) -> bool:
        ranking = known.ranking
        if len(ranking) != min(MAX_HOMES, len(servers)):
            return True
        if now - known.ranked_at > RANKING_LIFE_S:
            return True
        return len(self.indexes.find_all(ranking, servers, now)) < len(ranking)


def rank(block: int, index: ServerIndex) -> list[str]:
    """Return the first backend servers in rendezvous order for a block.

    Where there are many, groups of them are ranked first, so that a few have
    to be hashed and not all.
    """
    ranking = []
    groups = sorted(index.groups, key=lambda group: _digest(group.key, block))
    for group in groups:
        ranking.extend(sorted(group.names, key=lambda name: _digest(name, block)))
        if len(ranking) >= MAX_HOMES:
            break
    return [name.decode() for name in ranking[:MAX_HOMES]]


def _narrowed(block: int, ranking: Sequence[str], needed: int) -> list[str]:
    homes = sorted(ranking[:needed], key=lambda name: _digest(name.encode(), block))
    return homes + list(ranking[needed:])


def _digest(name: bytes, block: int) -> int:
    return xxhash.xxh3_64_intdigest(name, block)


def _levels(blocks: Sequence[KnownBlock | None], weight: float) -> list[int]:
    # The first block stands for the first level, whatever is known of it.
    levels = [0]
    if blocks[0] is None:
        return levels
    above = blocks[0].weight
    least = MIN_LEVEL_REQUESTS * weight
    for number, known in enumerate(blocks):
        if known is None or known.weight < least:
            break
        if known.weight <= LEVEL_RATIO * above:
            levels.append(number)
            above = known.weight
    return levels


def _runs(blocks: Sequence[KnownBlock | None]) -> list[tuple[int, int]]:
    # A server that holds a block holds those before it, as engines evict the
    # end of a prompt first; so an event lost in between does no harm.
    runs = []
    found = 0
    for length in range(len(blocks), 0, -1):
        known = blocks[length - 1]
        if known is not None and known.holders & ~found:
            runs.append((length, known.holders & ~found))
            found |= known.holders
    return runs
