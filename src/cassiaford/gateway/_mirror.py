"""An instance's mirror of the parts of the shared store that it uses."""

import asyncio
import contextlib
import math
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.gateway._clocks import suspended_s
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._store import (
    Change,
    Changes,
    HistoryLostError,
    Item,
    Page,
    SharedStore,
    StoreDisconnectedError,
    StoreError,
)
from cassiaford.logs import Event

# A watch whose connection has gone silent looks like one without changes, and the
# kernel's keep-alive probes may still be answered. So a watch waits for a fraction
# of a section's longest lag, and is abandoned after another one; the rest is for
# the read that follows.
WATCH_WAIT_FRACTION = 0.7
WATCH_TIMEOUT_FRACTION = 0.9
# The default of the time after which a change must be known.
MAX_LAG_S = 2.0
# Delay after a change, so that the changes that follow are fetched together.
BATCH_WINDOW_S = 0.25
# Leaves the lower bits of a number to revisions.
ERA_SHIFT = 40
# The delay after a failed call doubles with each further failure.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
# A section whose history is lost again before a watch succeeds rests for this
# fraction of its longest lag before it is read: instances that read it all the
# while would exceed the store's limit of calls.
REREAD_REST_FRACTION = 0.15


class MirrorListener(ABC):
    """Receives the changes of a mirror."""

    @abstractmethod
    def on_change(self, change: Change) -> None:
        """Process a change of one key."""

    @abstractmethod
    def on_store_lost(self, cause: str) -> None:
        """Process the start of what may be an outage, in which entries lapse."""

    @abstractmethod
    def on_store_present(self) -> None:
        """Process the response that shows that there was no outage."""

    @abstractmethod
    def on_store_recovered(self) -> None:
        """Process the first response after an outage, or after a change of era."""


@dataclass(frozen=True)
class Section:
    """The keys below a prefix; their changes are batched for a time.

    A change is known after `max_lag_s` also if the watch that waited for it got no
    response, provided that the store responds to the next one.
    """

    prefix: str
    batch_window_s: float = BATCH_WINDOW_S
    max_lag_s: float = MAX_LAG_S


class Mirror:
    """A copy of sections of the store, from the store or from a peer's mirror.

    While it is `catching_up`, the listener gets changes whose time is unknown.
    """

    def __init__(self, sections: tuple[Section, ...], listener: MirrorListener):
        self.sections = sections
        self.listener = listener
        self.items: dict[str, dict[str, Item]] = {s.prefix: {} for s in sections}
        self.revisions: dict[str, int] = {s.prefix: 0 for s in sections}
        self.eras: dict[str, int] = {s.prefix: 0 for s in sections}
        self.era = 0
        self.catching_up = False

    def replace(self, prefix: str, page: Page, era: int) -> None:
        """Replace all items of a section, unless it is newer by era and revision.

        A page that was read from the store may arrive after a peer's newer copy.
        """
        if (era, page.revision) < self._position(prefix):
            return
        with self._catching_up(True):
            self._replace_items(prefix, page)
        self.eras[prefix] = era
        self.revisions[prefix] = page.revision

    def apply(self, prefix: str, changes: Changes, late: bool = False) -> None:
        """Apply the changes of a section up to a revision.

        Changes that the section has already, from a peer's copy or from pages
        that were read later than the first, are skipped. `late` is whether they
        may be older than the section's longest lag.
        """
        with self._catching_up(late):
            self._apply_changes(prefix, changes)
        self.revisions[prefix] = max(changes.revision, self.revisions[prefix])

    def apply_newer(self, snapshot: dict[str, Page], era: int) -> bool:
        """Apply the newer sections of a peer's mirror; return whether any was newer."""
        if era < self.era:
            return False
        newer = {
            prefix: page
            for prefix, page in snapshot.items()
            if prefix in self.revisions
            and (era, page.revision) > self._position(prefix)
        }
        self.era = era
        for prefix, page in newer.items():
            self.replace(prefix, page, era)
        return bool(newer)

    def snapshot(self) -> dict[str, Page]:
        """Return all sections that were read in the current era."""
        return {
            prefix: Page(tuple(items.values()), self.revisions[prefix])
            for prefix, items in self.items.items()
            if self.eras[prefix] == self.era
        }

    @property
    def revision(self) -> int:
        """A number that is higher for a newer mirror: era and sum of revisions."""
        return (self.era << ERA_SHIFT) + sum(self.revisions.values())

    @property
    def complete(self) -> bool:
        """Whether every section has been read in the current era."""
        current = set(self.eras.values()) == {self.era}
        return current and all(self.revisions.values())

    @contextlib.contextmanager
    def _catching_up(self, catching_up):
        self.catching_up = catching_up
        try:
            yield
        finally:
            self.catching_up = False

    def _apply_changes(self, prefix, changes):
        items = self.items[prefix]
        for change in changes.changes:
            previous = items.get(change.key)
            known = previous.revision if previous else self.revisions[prefix]
            if change.revision <= known:
                continue
            if change.item is not None:
                self._put(prefix, change.item)
            elif previous is not None:
                del items[change.key]
                self.listener.on_change(change)

    def _replace_items(self, prefix, page):
        items = self.items[prefix]
        for key in set(items) - {item.key for item in page.items}:
            del items[key]
            self.listener.on_change(Change(key, page.revision, None))
        for item in page.items:
            if items.get(item.key) != item:
                self._put(prefix, item)

    def _position(self, prefix):
        return self.eras[prefix], self.revisions[prefix]

    def _put(self, prefix, item):
        self.items[prefix][item.key] = item
        self.listener.on_change(Change(item.key, item.revision, item))


class MirrorSync:
    """Synchronizes a mirror with the store, with one watch for each section.

    It also tracks for all clients of the store whether it is `reachable`: this
    is false from the first failed call until each failed client has a response.
    An outage ends with the first response to any client, since a watch may wait
    for long before it has one.

    A store may close connections, such as those of waiting watches, while it
    responds to all other calls. So a broken connection is an outage only if a
    call that started later fails too; the watch that follows does not wait, so
    that this is known at once.

    Calls also fail when just their connections are lost or the instance was
    suspended. Then the next watch returns in time, so `stable_since` counts only
    outages that have lasted for the shortest lag. Since a response may come long
    after the store is back, an outage lasted no longer than until the last call
    that failed in it was started.

    `followed_since` is when a section was last read after a gap longer than its
    longest lag. A page read then does not show what came and went in the gap.
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
        self.suspended_s: Callable[[], float] = suspended_s
        self.failing: set[str] = set()
        # The clients whose latest call ended with its connection.
        self.disconnected: set[str] = set()
        self.confirmed_at: dict[str, float] = {}
        self.followed_since = math.inf
        self.last_response_at: float | None = None
        self.lost_at: float | None = None
        self.in_outage = False
        # When a call failed, until another one shows whether the store is away.
        self.suspected_at: float | None = None
        # Of these the first two count suspensions of the machine too.
        self.last_outage_ended_at = float("-inf")
        self.last_failure_began_at = float("-inf")
        self.outage_began_at = 0.0
        self.min_outage_s = min(section.max_lag_s for section in mirror.sections)

    def age_s(self, prefix: str) -> float | None:
        """Return the seconds since a section was last confirmed, None if never."""
        confirmed_at = self.confirmed_at.get(prefix)
        return None if confirmed_at is None else self._time() - confirmed_at

    @property
    def reachable(self) -> bool:
        """Whether the store has responded to every client's latest call."""
        return self.last_response_at is not None and not self.failing

    def stable_since(self) -> float:
        """Return when the last outage ended, or the present time during one."""
        if self._is_long_outage():
            return self.clock()
        return self.last_outage_ended_at - self.suspended_s()

    async def run(self) -> None:
        """Follow every section until cancelled."""
        async with asyncio.TaskGroup() as group:
            for section in self.mirror.sections:
                group.create_task(self._follow(section))

    async def _follow(self, section):
        delay_s = FIRST_RETRY_DELAY_S
        loaded_era = None
        lost_again = False
        may_wait = True
        while True:
            started_at = self.clock()
            try:
                if loaded_era == self.store.era:
                    await self._watch(section, may_wait)
                    lost_again = False
                else:
                    loaded_era = await self._load(section)
                delay_s = FIRST_RETRY_DELAY_S
                may_wait = True
            except HistoryLostError:
                self.record_success(section.prefix)
                loaded_era = None
                if lost_again:
                    rest_s = REREAD_REST_FRACTION * section.max_lag_s
                    await asyncio.sleep(rest_s * (0.5 + self.rng.random()))
                lost_again = True
            except StoreError as error:
                self._log_failed_watch(section, error)
                self.record_failure(section.prefix, error, started_at)
                may_wait = not isinstance(error, StoreDisconnectedError)
                # A call that waited long before it failed is repeated at once.
                rest_s = delay_s - (self.clock() - started_at)
                rest_s = max(rest_s, FIRST_RETRY_DELAY_S)
                await asyncio.sleep(rest_s * (0.5 + self.rng.random()))
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _load(self, section):
        """Read a section anew; return the era that it was read in."""
        era = self.store.era
        page = await self.store.read(section.prefix)
        # The listener must know of the recovery before it gets the removal of
        # entries that lapsed in the outage.
        self.record_success(section.prefix)
        if era and era != self.store.era:
            # Pages of two eras do not fit together.
            return era
        self._enter_era()
        self.mirror.replace(section.prefix, page, self.mirror.era)
        self._confirm(section)
        return self.mirror.era

    def _enter_era(self):
        """Start the store's era, in which entries may be missing at first."""
        era = self.store.era
        if era <= self.mirror.era:
            return
        if self.mirror.era:
            self.log.write(Event.KEY_VALUE_RESTORED, era=era)
            self.mirror.listener.on_store_recovered()
            self.last_outage_ended_at = self._time()
        self.mirror.era = era

    async def _watch(self, section, may_wait=True):
        after = self.mirror.revisions[section.prefix]
        wait_s = WATCH_WAIT_FRACTION * section.max_lag_s if may_wait else 0.0
        timeout_s = WATCH_TIMEOUT_FRACTION * section.max_lag_s
        try:
            async with asyncio.timeout(timeout_s):
                changes = await self.store.watch(section.prefix, after, wait_s)
        except TimeoutError as error:
            detail = f"a watch has not returned within {timeout_s:g} s"
            raise StoreError(detail) from error
        self.record_success(section.prefix)
        if self.store.era != self.mirror.era:
            return
        late = self.age_s(section.prefix) > section.max_lag_s
        self.mirror.apply(section.prefix, changes, late)
        self._confirm(section)
        if changes.changes:
            await asyncio.sleep(section.batch_window_s)

    def _confirm(self, section):
        age_s = self.age_s(section.prefix)
        if age_s is None or age_s > section.max_lag_s:
            self.followed_since = self.clock()
        self.confirmed_at[section.prefix] = self._time()

    def _log_failed_watch(self, section, error):
        age_s = self.age_s(section.prefix)
        self.log.write(
            Event.WATCH_FAILED,
            section=section.prefix,
            age_s=None if age_s is None else round(age_s, 3),
            cause=str(error),
        )

    def record_success(self, client: str) -> None:
        """Record the response to a call of a client of the store."""
        if self._is_long_outage():
            self.last_outage_ended_at = self.last_failure_began_at
        self.last_response_at = self.clock()
        if self.in_outage:
            self.mirror.listener.on_store_recovered()
        elif self.suspected_at is not None:
            self.mirror.listener.on_store_present()
        self.in_outage = False
        self.suspected_at = None
        self.clear_failure(client)

    def clear_failure(self, client: str) -> None:
        """Remove the failure of a client that succeeded or makes no more calls."""
        self.disconnected.discard(client)
        if client not in self.failing:
            return
        self.failing.discard(client)
        if not self.failing:
            away_s = round(self.clock() - self.lost_at, 3)
            self.log.write(Event.KEY_VALUE_RECOVERED, away_s=away_s)

    def record_failure(self, client: str, error: StoreError, started_at: float) -> None:
        """Record the failure of a client's call that started at a time.

        If another client got a response since then, only a connection was lost.
        """
        broke_alone = self._broke_alone(client, error, started_at)
        if not self.in_outage and not self._has_responded_since(started_at):
            self._suspect_outage(f"{client}: {error}")
            self.in_outage = not broke_alone
        began_at = started_at + self.suspended_s()
        self.last_failure_began_at = max(began_at, self.last_failure_began_at)
        if broke_alone:
            self.disconnected.add(client)
            return
        if not self.failing:
            self.lost_at = self.clock()
            self.log.write(Event.KEY_VALUE_LOST, caller=client, cause=str(error))
        self.failing.add(client)

    def _broke_alone(self, client, error, started_at):
        """Return whether a connection broke, and no call has failed since then."""
        if self.in_outage or not isinstance(error, StoreDisconnectedError):
            return False
        if client in self.disconnected:
            return False
        return self.suspected_at is None or started_at <= self.suspected_at

    def _suspect_outage(self, cause):
        if self.suspected_at is None:
            self.suspected_at = self.outage_began_at = self.clock()
            self.mirror.listener.on_store_lost(cause)

    def _time(self):
        """Return a time that also runs while the machine is suspended."""
        return self.clock() + self.suspended_s()

    def _is_long_outage(self):
        lasted_s = self.clock() - self.outage_began_at
        return self.in_outage and lasted_s >= self.min_outage_s

    def _has_responded_since(self, moment):
        return self.last_response_at is not None and self.last_response_at > moment
