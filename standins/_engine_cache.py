"""The prefix cache of the engine stand-in and the events it publishes."""

import collections
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

EVENT_LOG_LENGTH = 200_000
MAX_EVENTS_IN_ANSWER = 10_000


@dataclass(frozen=True)
class _LoggedEvent:
    sequence: int
    kind: str
    block: int
    visible_at: float
    lost: bool


class EventLog:
    """Cache events, shown `lag_s` seconds late and some of them lost."""

    def __init__(self, lag_s: float, loss: float, seed: int):
        self.lag_s = lag_s
        self.loss = loss
        self.rng = random.Random(seed)
        self.first = 1
        self.events: list[_LoggedEvent] = []

    def add(self, kind: str, block: int) -> None:
        """Log an event."""
        visible_at = time.monotonic() + self.lag_s
        lost = self.rng.random() < self.loss
        sequence = self.first + len(self.events)
        self.events.append(_LoggedEvent(sequence, kind, block, visible_at, lost))
        if len(self.events) > 2 * EVENT_LOG_LENGTH:
            self._trim()

    def after(self, sequence: int) -> dict:
        """Return the visible events after a sequence number, in JSON form."""
        now = time.monotonic()
        start = max(0, sequence + 1 - self.first)
        newer = self.events[start : start + MAX_EVENTS_IN_ANSWER]
        newer = [event for event in newer if event.visible_at <= now]
        shown = [event for event in newer if not event.lost]
        last = newer[-1].sequence if newer else sequence
        return {
            "events": [_shown(event) for event in shown],
            "next_sequence": last + 1,
            "gap": len(shown) < last - sequence,
        }

    def _trim(self):
        del self.events[:EVENT_LOG_LENGTH]
        self.first += EVENT_LOG_LENGTH


class PrefixCache:
    """Blocks by their chained hash; the least recently used go first."""

    def __init__(self, capacity: int, log: EventLog):
        self.capacity = capacity
        self.log = log
        self.blocks = collections.OrderedDict()

    def match(self, chain: Sequence[int]) -> int:
        """Return how many blocks from the start of a chain are cached."""
        cached = itertools.takewhile(self.blocks.__contains__, chain)
        return sum(1 for _ in cached)

    def store(self, chain: Sequence[int]) -> None:
        """Keep the blocks of a chain, the outermost as the newest."""
        for block in reversed(chain[: self.capacity]):
            if block not in self.blocks:
                self.log.add("stored", block)
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            block, _ = self.blocks.popitem(last=False)
            self.log.add("evicted", block)


def _shown(event):
    return {
        "sequence": event.sequence,
        "kind": event.kind,
        "block": f"{event.block:016x}",
    }
