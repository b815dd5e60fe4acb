"""A bounded table of prompt blocks: which servers cache them, how often they occur.

The capacity does not depend on the number of blocks in the fleet. The table
has two generations: when the recent one is full it replaces the previous one,
whose blocks are discarded unless they were looked up in the meantime.
"""

from collections.abc import Iterator

# The weight of a request halves in this time.
HALF_LIFE_S = 10.0
# Weights grow with time and are rescaled before a float could overflow.
MAX_WEIGHT = 1e200


class BlockState:
    """The estimated state of one prompt block.

    `server_mask` has a bit set for each backend server that is assumed to cache
    the block. `weight` counts requests with this block, recent ones more. `ranking`
    caches the backend servers in rendezvous order as of `ranked_at`.
    """

    __slots__ = ("server_mask", "ranked_at", "ranking", "weight")

    def __init__(self):
        self.server_mask = 0
        self.weight = 0.0
        self.ranking = ()
        self.ranked_at = 0.0


class BlockTable:
    """The state of at most `capacity` blocks, by block hash.

    Weights follow the forward decay of Cormode, Shkapenyuk, Srivastava and
    Xu, "Forward Decay: A Practical Time Decay Model for Streaming Systems",
    ICDE 2009: a later request adds a larger weight, so that stored weights
    need no update as time passes.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.total_weight = 0.0
        self._recent = {}
        self._previous = {}
        self._weight_epoch = 0.0

    def __len__(self) -> int:
        return len(self._recent) + len(self._previous)

    @property
    def has_room(self) -> bool:
        """Whether there is room for blocks that no request here has used."""
        return 2 * len(self) < self.capacity

    def find(self, block: int) -> BlockState | None:
        """Return the state of a block, or None if the table has none."""
        state = self._recent.get(block)
        if state is None:
            state = self._previous.pop(block, None)
            if state is not None:
                self._insert(block, state)
        return state

    def add(self, block: int) -> BlockState:
        """Return the state of a block, adding it if the table has none."""
        state = self.find(block)
        if state is None:
            state = BlockState()
            self._insert(block, state)
        return state

    def remove_server(self, mask: int) -> None:
        """Remove one backend server from the mask of every block."""
        for state in self._all_blocks():
            state.server_mask &= ~mask

    def weight_at(self, now: float) -> float:
        """Return the weight of a request that is made at a time."""
        weight = 2.0 ** min(1000.0, (now - self._weight_epoch) / HALF_LIFE_S)
        if weight > MAX_WEIGHT:
            self._rescale(weight)
            self._weight_epoch = now
            return 1.0
        return weight

    def _insert(self, block: int, state: BlockState) -> None:
        if 2 * len(self._recent) >= self.capacity:
            self._previous = self._recent
            self._recent = {}
        self._recent[block] = state

    def _rescale(self, factor: float) -> None:
        self.total_weight /= factor
        for state in self._all_blocks():
            state.weight /= factor

    def _all_blocks(self) -> Iterator[BlockState]:
        yield from self._recent.values()
        yield from self._previous.values()
