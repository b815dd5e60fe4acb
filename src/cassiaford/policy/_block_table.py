"""What is known of prompt blocks: who is believed to hold them, how hot they are.

The table has a fixed capacity, whatever the number of blocks in the fleet. It
keeps two generations: when the young one is full it becomes the old one, and
what was not asked for since then is dropped.
"""

from collections.abc import Iterator

# Requests count half after this time.
HALF_LIFE_S = 10.0
# Weights grow with time and are scaled back before a float could overflow.
MAX_WEIGHT = 1e200


class KnownBlock:
    """One block of prompts.

    `holders` has a bit set for each backend server that is believed to hold
    the block. `weight` counts requests with this block, newer ones for more. `ranking`
    caches the backend servers in rendezvous order as of `ranked_at`.
    """

    __slots__ = ("holders", "ranked_at", "ranking", "weight")

    def __init__(self):
        self.holders = 0
        self.weight = 0.0
        self.ranking = ()
        self.ranked_at = 0.0


class BlockTable:
    """Known blocks by hash, at most `capacity` of them.

    Weights follow the forward decay of Cormode, Shkapenyuk, Srivastava and
    Xu, "Forward Decay: A Practical Time Decay Model for Streaming Systems",
    ICDE 2009: a newer request adds a larger weight, so that nothing has to be
    aged in between.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.total_weight = 0.0
        self._young = {}
        self._old = {}
        self._weight_from = 0.0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    @property
    def has_room(self) -> bool:
        """Whether blocks may be added that no request here has asked for."""
        return 2 * len(self) < self.capacity

    def find(self, block: int) -> KnownBlock | None:
        """Return a block, or None if nothing is known of it."""
        known = self._young.get(block)
        if known is None:
            known = self._old.pop(block, None)
            if known is not None:
                self._insert(block, known)
        return known

    def add(self, block: int) -> KnownBlock:
        """Return a block, new if nothing was known of it."""
        known = self.find(block)
        if known is None:
            known = KnownBlock()
            self._insert(block, known)
        return known

    def drop_holder(self, bit: int) -> None:
        """Drop the belief that one backend server holds anything."""
        for known in self._all():
            known.holders &= ~bit

    def weight_at(self, now: float) -> float:
        """Return the weight of one request at a time."""
        weight = 2.0 ** min(1000.0, (now - self._weight_from) / HALF_LIFE_S)
        if weight > MAX_WEIGHT:
            self._scale_back(weight)
            self._weight_from = now
            return 1.0
        return weight

    def _insert(self, block: int, known: KnownBlock) -> None:
        if 2 * len(self._young) >= self.capacity:
            self._old = self._young
            self._young = {}
        self._young[block] = known

    def _scale_back(self, factor: float) -> None:
        self.total_weight /= factor
        for known in self._all():
            known.weight /= factor

    def _all(self) -> Iterator[KnownBlock]:
        yield from self._young.values()
        yield from self._old.values()
