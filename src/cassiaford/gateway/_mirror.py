"""An instance's copy of what it uses of the shared store."""

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._store import (
    Change,
    Changes,
    HistoryLostError,
    Item,
    Page,
    SharedStore,
    StoreError,
)
from cassiaford.logs import Event

# A watch is answered at the latest after this time. A connection that has gone
# silent is found sooner, by the kernel's probes.
WATCH_S = 20.0
# Changes that come together are fetched together.
GATHER_S = 0.25
# After a failed call the store is asked again after this time, twice as long
# after each further failure up to the maximum.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8


class MirrorListener(ABC):
    """Is told what changes in the mirror."""

    @abstractmethod
    def changed(self, change: Change) -> None:
        """Take in a change of one key."""

    @abstractmethod
    def store_lost(self) -> None:
        """Take in that the store does not answer."""

    @abstractmethod
    def store_returned(self) -> None:
        """Take in that the store answers again after an outage."""


@dataclass(frozen=True)
class Section:
    """Keys below a prefix, and how long changes to them are gathered."""

    prefix: str
    gather_s: float = GATHER_S


class Mirror:
    """Keeps sections of the store, from the store or from a peer's mirror."""

    def __init__(self, sections: tuple[Section, ...], listener: MirrorListener):
        self.sections = sections
        self.listener = listener
        self.items: dict[str, dict[str, Item]] = {s.prefix: {} for s in sections}
        self.revisions: dict[str, int] = {s.prefix: 0 for s in sections}

    def replace(self, prefix: str, page: Page) -> None:
        """Take in all items of a section as of a revision."""
        known = self.items[prefix]
        for key in set(known) - {item.key for item in page.items}:
            del known[key]
            self.listener.changed(Change(key, page.revision, None))
        for item in page.items:
            self._put(prefix, item)
        self.revisions[prefix] = page.revision

    def apply(self, prefix: str, changes: Changes) -> None:
        """Take in the changes of a section up to a revision."""
        for change in changes.changes:
            if change.item is not None:
                self._put(prefix, change.item)
            elif self.items[prefix].pop(change.key, None) is not None:
                self.listener.changed(change)
        self.revisions[prefix] = max(changes.revision, self.revisions[prefix])

    def adopt(self, copies: dict[str, Page]) -> bool:
        """Take in a peer's newer copies; return whether there were any."""
        newer = {
            prefix: page
            for prefix, page in copies.items()
            if page.revision > self.revisions.get(prefix, page.revision)
        }
        for prefix, page in newer.items():
            self.replace(prefix, page)
        return bool(newer)

    def copies(self) -> dict[str, Page]:
        """Return all sections."""
        return {
            prefix: Page(tuple(items.values()), self.revisions[prefix])
            for prefix, items in self.items.items()
        }

    @property
    def revision(self) -> int:
        """The sum of the sections' revisions; a newer mirror's is higher."""
        return sum(self.revisions.values())

    @property
    def complete(self) -> bool:
        """Whether every section has been read once."""
        return all(self.revisions.values())

    def _put(self, prefix, item):
        known = self.items[prefix].get(item.key)
        if known is None or known.revision < item.revision:
            self.items[prefix][item.key] = item
            self.listener.changed(Change(item.key, item.revision, item))


class MirrorSync:
    """Keeps a mirror in step with the store, one watch a section.

    `reachable` is false from the first failed call until the next answer.
    """

    def __init__(
        self,
        mirror: Mirror,
        store: SharedStore,
        rng: random.Random,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.mirror = mirror
        self.store = store
        self.rng = rng
        self.log = log
        self.clock = clock
        self.failing: set[str] = set()
        self.heard_at: float | None = None
        self.lost_at: float | None = None

    @property
    def reachable(self) -> bool:
        """Whether the store's newest answers came."""
        return self.heard_at is not None and not self.failing

    async def run(self) -> None:
        """Follow every section until cancelled."""
        async with asyncio.TaskGroup() as group:
            for section in self.mirror.sections:
                group.create_task(self._follow(section))

    async def _follow(self, section):
        retry_s = FIRST_RETRY_S
        read = False
        while True:
            try:
                if read:
                    await self._watch(section)
                else:
                    await self._read(section)
                    read = True
                retry_s = FIRST_RETRY_S
            except HistoryLostError:
                self.answered(section.prefix)
                read = False
            except StoreError as error:
                self.failed(section.prefix, error)
                await asyncio.sleep(retry_s * (0.5 + self.rng.random()))
                retry_s = min(2 * retry_s, MAX_RETRY_S)

    async def _read(self, section):
        page = await self.store.read(section.prefix)
        # Before what lapsed in an outage is taken in as removed.
        self.answered(section.prefix)
        self.mirror.replace(section.prefix, page)

    async def _watch(self, section):
        after = self.mirror.revisions[section.prefix]
        changes = await self.store.watch(section.prefix, after, WATCH_S)
        self.answered(section.prefix)
        self.mirror.apply(section.prefix, changes)
        if changes.changes:
            await asyncio.sleep(section.gather_s)

    def answered(self, caller: str) -> None:
        """Take note that a call was answered; `caller` tells calls apart."""
        self.heard_at = self.clock()
        self.no_longer_calls(caller)

    def no_longer_calls(self, caller: str) -> None:
        """Leave a failed call out of account; it is not made again."""
        if caller not in self.failing:
            return
        self.failing.discard(caller)
        self.mirror.listener.store_returned()
        if not self.failing:
            away_s = round(self.clock() - self.lost_at, 3)
            self.log.write(Event.KEY_VALUE_RECOVERED, away_s=away_s)

    def failed(self, caller: str, error: StoreError) -> None:
        """Take note that a call failed.

        A watch may wait through an outage unharmed, so that only other calls
        tell of it.
        """
        if not self.failing:
            self.lost_at = self.clock()
            self.log.write(Event.KEY_VALUE_LOST, caller=caller, cause=str(error))
            self.mirror.listener.store_lost()
        self.failing.add(caller)
