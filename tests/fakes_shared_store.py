"""A shared store in memory whose calls fail as those over a network do.

It answers in virtual time. Each client has a connection of its own: one that was
open at `cut_connections` never carries anything again, while new ones work.
"""

import asyncio
import itertools

from cassiaford.gateway import (
    Change,
    Changes,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    LeaseEndedError,
    Page,
    StoreDisconnectedError,
    StoreError,
    StoreRefusedError,
)

# One way.
LATENCY_S = 0.004
FIRST_LEASE = 7000
# The time that a client waits for a response, a watch's wait not included.
TIMEOUT_S = 1.0
# The window in which calls are counted.
LIMIT_WINDOW_S = 0.1


class FakeSharedStore:
    """The keys, revisions, history and faults of one store."""

    def __init__(self, latency_s=LATENCY_S):
        self.latency_s = latency_s
        self.items: dict[str, Item] = {}
        self.history: list[Change] = []
        self.revision = 100
        self.compacted = 100
        self.era = 1
        self.key_leases: dict[str, int] = {}
        self.leases: dict[int, set[str]] = {}
        self.next_lease = itertools.count(FIRST_LEASE)
        self._lease_ends: dict[int, asyncio.TimerHandle] = {}
        self._times_to_live_s: dict[int, float] = {}
        self.refusing = False
        self.calls_per_s = float("inf")
        self.silent = False
        self.cut = asyncio.Event()
        self.reset = asyncio.Event()
        self._changed = asyncio.Event()
        self._calls = 0
        self._calls_since = 0.0

    def allows_call(self):
        """Count a call; return whether it is within the limit of all clients."""
        now = asyncio.get_running_loop().time()
        if now - self._calls_since >= LIMIT_WINDOW_S:
            self._calls, self._calls_since = 0, now
        self._calls += 1
        return self._calls <= self.calls_per_s * LIMIT_WINDOW_S

    def put(self, key, value=b""):
        """Write a key."""
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        self._record(Change(key, self.revision, self.items[key]))

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        if self.items.pop(key, None) is not None:
            self._record(Change(key, self.revision, None))

    def remove_if(self, key, revision):
        """Remove a key if it still has a revision."""
        item = self.items.get(key)
        if item is None or item.revision != revision:
            return Conflict((item,) if item else ())
        self.remove(key)
        return Committed(self.revision)

    def grant_lease(self, time_to_live_s):
        """Create a lease that ends by itself, and return its identifier."""
        lease = next(self.next_lease)
        self.leases[lease] = set()
        loop = asyncio.get_running_loop()
        end = loop.call_later(time_to_live_s, self.end_lease, lease)
        self._lease_ends[lease] = end
        self._times_to_live_s[lease] = time_to_live_s
        return lease

    def renew_lease(self, lease):
        """Have a lease end a time to live from now."""
        if lease not in self.leases:
            raise LeaseEndedError("the lease has ended")
        loop = asyncio.get_running_loop()
        self._lease_ends[lease].cancel()
        delay_s = self._times_to_live_s[lease]
        self._lease_ends[lease] = loop.call_later(delay_s, self.end_lease, lease)

    def end_lease(self, lease):
        """End a lease, and remove the keys that were last written under it."""
        self._lease_ends.pop(lease).cancel()
        for key in self.leases.pop(lease):
            if self.items.get(key) and self.key_leases.get(key) == lease:
                self.remove(key)

    def transact(self, conditions, writes):
        """Write all values if all conditions hold."""
        if any(w.lease and w.lease not in self.leases for w in writes):
            raise LeaseEndedError("no such lease")
        items = {c.key: self.items.get(c.key) for c in conditions}
        if any(
            (i.revision if i else 0) != c.revision
            for c, i in zip(conditions, items.values(), strict=True)
        ):
            return Conflict(tuple(filter(None, items.values())))
        self.revision += 1
        for write in writes:
            item = Item(write.key, write.value, self.revision)
            self.items[write.key] = item
            self.key_leases[write.key] = write.lease
            if write.lease:
                self.leases[write.lease].add(write.key)
            self.history.append(Change(write.key, self.revision, item))
        self._wake()
        return Committed(self.revision)

    def compact(self):
        """Forget the history; watches from before get `HistoryLostError`."""
        self.history.clear()
        self.compacted = self.revision
        self._wake()

    def copy(self):
        """Return the data to which `restore` can go back."""
        leases = {lease: set(keys) for lease, keys in self.leases.items()}
        return dict(self.items), leases, self.revision

    def restore(self, copy):
        """Come back from a copy in a new era.

        Revisions and leases are given out again.
        """
        items, leases, self.revision = copy
        self.items = dict(items)
        for lease in set(self.leases) - set(leases):
            self._lease_ends.pop(lease).cancel()
        # The keys of a lease that has ended since the copy have no lease.
        self.leases = {n: set(k) for n, k in leases.items() if n in self.leases}
        self.next_lease = itertools.count(max(leases, default=FIRST_LEASE - 1) + 1)
        self.history = [c for c in self.history if c.revision <= self.revision]
        self.era += 1
        self._wake()

    def cut_connections(self):
        """Silence the connections that are open now."""
        cut, self.cut = self.cut, asyncio.Event()
        cut.set()

    def reset_connections(self):
        """Break the connections that are open now."""
        reset, self.reset = self.reset, asyncio.Event()
        reset.set()

    def client(self):
        """Return a new instance's client."""
        return FakeStoreClient(self)

    async def wait_for_change(self):
        """Wait until something has changed."""
        await self._changed.wait()

    def _record(self, change):
        self.history.append(change)
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class FakeStoreClient:
    """One instance's client."""

    def __init__(self, store):
        self.store = store
        self.era = 0
        self.calls = 0

    async def read(self, prefix):
        """Return all items below a prefix."""
        return await self._call(TIMEOUT_S, self._page, prefix)

    async def watch(self, prefix, after, wait_s):
        """Return the changes after a revision, waiting for the first one."""
        timeout_s = TIMEOUT_S + wait_s
        return await self._call(timeout_s, self._changes, prefix, after, wait_s)

    async def renew(self):
        """Make a call without a result, as for the renewal of a lease."""
        await self._call(TIMEOUT_S, self._nothing)

    async def grant_lease(self, time_to_live_s):
        """Create a lease and return its identifier."""
        return await self._call(TIMEOUT_S, self._apply, "grant_lease", time_to_live_s)

    async def renew_lease(self, lease):
        """Renew a lease; raise `LeaseEndedError` if it has ended."""
        await self._call(TIMEOUT_S, self._apply, "renew_lease", lease)

    async def remove(self, key, revision):
        """Remove a key if it still has a revision."""
        arguments = (key, revision)
        return await self._call(TIMEOUT_S, self._apply, "remove_if", *arguments)

    async def transact(self, conditions, writes):
        """Write all values if all conditions hold."""
        arguments = (conditions, writes)
        return await self._call(TIMEOUT_S, self._apply, "transact", *arguments)

    async def _call(self, timeout_s, respond, *arguments):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(respond, *arguments)
        except TimeoutError as error:
            raise StoreError("no response in time") from error

    async def _exchange(self, respond, *arguments):
        store, cut = self.store, self.store.cut
        self.calls += 1
        await asyncio.sleep(store.latency_s)
        if store.refusing or not store.allows_call():
            raise StoreRefusedError("refused")
        try:
            response = await self._unless_reset(respond(*arguments))
        except (HistoryLostError, LeaseEndedError):
            self.era = max(self.era, store.era)
            raise
        era = store.era
        await asyncio.sleep(store.latency_s)
        if cut.is_set() or store.silent:
            await asyncio.get_running_loop().create_future()
        self.era = max(self.era, era)
        return response

    async def _unless_reset(self, response):
        response = asyncio.ensure_future(response)
        reset = asyncio.ensure_future(self.store.reset.wait())
        try:
            await asyncio.wait((response, reset), return_when=asyncio.FIRST_COMPLETED)
            if not response.done():
                raise StoreDisconnectedError("the connection broke")
            return response.result()
        finally:
            response.cancel()
            reset.cancel()

    async def _page(self, prefix):
        items = (i for key, i in self.store.items.items() if key.startswith(prefix))
        return Page(tuple(items), self.store.revision)

    async def _changes(self, prefix, after, wait_s):
        deadline = asyncio.get_running_loop().time() + wait_s
        store = self.store
        while not (changes := self._matching(prefix, after)):
            try:
                async with asyncio.timeout_at(deadline):
                    await store.wait_for_change()
            except TimeoutError:
                break
        return Changes(tuple(changes), store.revision)

    async def _apply(self, name, *arguments):
        return getattr(self.store, name)(*arguments)

    async def _nothing(self):
        return None

    def _matching(self, prefix, after):
        if not self.store.compacted <= after <= self.store.revision:
            raise HistoryLostError("the history is gone")
        return [
            change
            for change in self.store.history
            if change.revision > after and change.key.startswith(prefix)
        ]
