"""The prefix cache of the engine stand-in and the log of its cache events."""

import collections
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

MIN_KEPT_EVENTS = 200_000
MAX_EVENTS_IN_RESPONSE = 10_000


@dataclass(frozen=True)
class _LoggedEvent:
    sequence: int
    kind: str
    block: int
    visible_at: float
    lost: bool


class EventLog:
    """Log of cache events, which become visible after `lag_s` seconds.

    A fraction `loss` of them, chosen by a seeded generator, is never delivered.
    """

    def __init__(self, lag_s: float, loss: float, seed: int):
        self.lag_s = lag_s
        self.loss = loss
        self.rng = random.Random(seed)
        self.first = 1
        self.events: list[_LoggedEvent] = []

    def add(self, kind: str, block: int) -> None:
        """Append an event."""
        visible_at = time.monotonic() + self.lag_s
        lost = self.rng.random() < self.loss
        sequence = self.first + len(self.events)
        self.events.append(_LoggedEvent(sequence, kind, block, visible_at, lost))
        if len(self.events) > 2 * MIN_KEPT_EVENTS:
            self._trim()

    def after(self, sequence: int) -> dict:
        """Return the visible events after a sequence number, ready for JSON."""
        now = time.monotonic()
        start = max(0, sequence + 1 - self.first)
        visible = self.events[start : start + MAX_EVENTS_IN_RESPONSE]
        visible = [event for event in visible if event.visible_at <= now]
        delivered = [event for event in visible if not event.lost]
        last = visible[-1].sequence if visible else sequence
        return {
            "events": [_event_json(event) for event in delivered],
            "next_sequence": last + 1,
            "gap": len(delivered) < last - sequence,
        }

    def _trim(self):
        del self.events[:MIN_KEPT_EVENTS]
        self.first += MIN_KEPT_EVENTS


class PrefixCache:
    """An LRU cache of prompt blocks, identified by their chained hash."""

    def __init__(self, capacity: int, log: EventLog):
        self.capacity = capacity
        self.log = log
        self.blocks = collections.OrderedDict()

    def match(self, chain: Sequence[int]) -> int:
        """Return how many blocks from the start of a chain are cached."""
        cached = itertools.takewhile(self.blocks.__contains__, chain)
        return sum(1 for _ in cached)

    def store(self, chain: Sequence[int]) -> None:
        """Cache the blocks of a chain, its first block as the most recently used."""
        for block in reversed(chain[: self.capacity]):
            if block not in self.blocks:
                self.log.add("stored", block)
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            block, _ = self.blocks.popitem(last=False)
            self.log.add("evicted", block)


def _event_json(event):
    return {
        "sequence": event.sequence,
        "kind": event.kind,
        "block": f"{event.block:016x}",
    }
