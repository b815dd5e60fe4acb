"""Tests that an instance's copy of the store neither lags behind nor goes back."""

import asyncio
import contextlib
import json
import random
import unittest

from cassiaford.gateway import Change, Changes, Item, Page, StoreError
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._mirror import (
    MAX_RETRY_DELAY_S,
    Mirror,
    MirrorSync,
    Section,
)
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import FleetRates
from cassiaford.platform._records import PlatformRecordDecoder
from tests.fakes_shared_store import LATENCY_S, FakeSharedStore
from tests.platform_case import PlatformCase, configuration
from tests.virtual_time import run_in_virtual_time

# The users' bounds: a change must be in force, and a leaving server out of use,
# this long after its acknowledgement.
CHANGE_IN_FORCE_S = 2.0
# They bind instances that have been undisturbed for this long.
CONTACT_S = 3.0
SECTIONS = (Section("op/"), Section("servers/", 0.12))
SEEDS = 40


class Instance:
    """An instance's mirror of a store, and a client that renews a lease."""

    def __init__(self, store, seed=1):
        self.client = store.client()
        log = EventLog("entry-1", 1)
        log.write = lambda event, **details: None
        self.view = View(PlatformRecordDecoder(), FleetRates(8.0), log)
        self.mirror = Mirror(SECTIONS, self.view)
        loop = asyncio.get_running_loop()
        rng = random.Random(seed)
        self.sync = MirrorSync(self.mirror, self.client, rng, log, loop.time)
        self.tasks = [
            loop.create_task(run())
            for run in (self.sync.run, self._renew, self._expire)
        ]

    @property
    def version(self):
        """The version of the configuration in force."""
        configuration = self.view.configuration
        return configuration.version if configuration else 0

    @property
    def servers(self):
        """The identifiers of the servers that get requests."""
        return identifiers(self.view)

    async def stop(self):
        """End the background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _renew(self):
        while True:
            started_at = self.sync.clock()
            try:
                await self.client.renew()
                self.sync.record_success("registration")
            except StoreError as error:
                self.sync.record_failure("registration", error, started_at)
            await asyncio.sleep(2.0)

    async def _expire(self):
        while True:
            self.view.expire(self.sync.last_response_at or 0.0)
            await asyncio.sleep(0.2)


def identifiers(view):
    """Return the identifiers of the servers that get requests."""
    return {s.server_id for servers in view.servers.values() for s in servers.values()}


def put_configuration(store, version):
    """Write a version of the configuration as an operator does."""
    store.put("op/config", json.dumps(configuration(version)).encode())


def put_server(store, name, state="ready"):
    """Write a server's entry as the server does."""
    entry = {
        "Service": "desk",
        "Address": f"10.0.0.{len(store.items) + 1}:80",
        "Zone": "a",
        "Slots": 8,
        "State": state,
    }
    store.put(f"servers/{name}", json.dumps(entry).encode())


@contextlib.asynccontextmanager
async def running(seed=1):
    """Run an instance that has read a store with a configuration and a server."""
    store = FakeSharedStore()
    put_configuration(store, 1)
    put_server(store, "i-0")
    instance = Instance(store, seed)
    await asyncio.sleep(1.0)
    try:
        yield store, instance
    finally:
        await instance.stop()


class HungWatchTest(unittest.TestCase):
    def test_a_watch_that_hangs_does_not_keep_an_old_configuration_in_force(self):
        async def run():
            async with running() as (store, instance):
                store.cut_connections()
                put_configuration(store, 2)
                await asyncio.sleep(CHANGE_IN_FORCE_S)
                self.assertEqual(instance.version, 2)

        run_in_virtual_time(run())

    def test_a_watch_that_hangs_does_not_keep_a_leaving_server_in_use(self):
        async def run():
            async with running() as (store, instance):
                store.cut_connections()
                put_server(store, "i-0", "draining")
                await asyncio.sleep(CHANGE_IN_FORCE_S)
                self.assertEqual(instance.servers, set())

        run_in_virtual_time(run())

    def test_a_watch_that_waited_through_an_outage_is_not_trusted_afterwards(self):
        async def run():
            async with running() as (store, instance):
                store.silent = True
                await asyncio.sleep(5.0)
                store.cut_connections()
                store.silent = False
                put_configuration(store, 2)
                await asyncio.sleep(CONTACT_S)
                self.assertEqual(instance.version, 2)

        run_in_virtual_time(run())


class ForgottenHistoryTest(unittest.TestCase):
    """A store that discards its history with each of many changes."""

    @contextlib.asynccontextmanager
    async def forgetting(self, store):
        async def write():
            while True:
                await asyncio.sleep(0.01)
                store.put("cassiaford/x")
                store.compact()

        task = asyncio.create_task(write())
        try:
            yield
        finally:
            task.cancel()

    def test_sections_are_not_read_anew_without_a_pause(self):
        async def run():
            async with running() as (store, instance), self.forgetting(store):
                before = instance.client.calls
                await asyncio.sleep(10.0)
                calls_per_s = (instance.client.calls - before) / 10.0
                # A section every quarter of a second, and a watch after each.
                self.assertLessEqual(calls_per_s, 8 * len(SECTIONS))

        run_in_virtual_time(run())

    def test_a_fleet_within_the_store_s_limit_of_calls_learns_of_every_change(self):
        async def run():
            async with running() as (store, first):
                fleet = [first, *(Instance(store, n) for n in range(2, 71))]
                await asyncio.sleep(1.0)
                store.calls_per_s = 6000
                async with self.forgetting(store):
                    for version in range(2, 8):
                        await asyncio.sleep(0.5)
                        put_configuration(store, version)
                        await asyncio.sleep(CHANGE_IN_FORCE_S)
                        late = sum(i.version < version for i in fleet)
                        self.assertEqual((version, late), (version, 0))
                for instance in fleet[1:]:
                    await instance.stop()

        run_in_virtual_time(run())

    def test_one_lost_history_delays_no_change(self):
        async def run():
            async with running() as (store, instance):
                store.put("cassiaford/x")
                store.compact()
                put_configuration(store, 2)
                await asyncio.sleep(0.1)
                self.assertEqual(instance.version, 2)

        run_in_virtual_time(run())


class LapsedEntryTest(unittest.TestCase):
    def test_a_server_that_leaves_long_after_an_outage_is_not_kept(self):
        # Its removal is the first response to a watch that failed in the outage.
        async def run():
            async with running() as (store, instance):
                store.refusing = True
                store.reset_connections()
                await asyncio.sleep(11.0)
                store.refusing = False
                await asyncio.sleep(CONTACT_S)
                store.remove("servers/i-0")
                await asyncio.sleep(CHANGE_IN_FORCE_S)
                self.assertEqual(instance.servers, set())

        run_in_virtual_time(run())

    def test_a_server_whose_entry_returns_after_an_outage_is_used_all_the_while(self):
        async def run():
            async with running() as (store, instance):
                store.refusing = True
                store.reset_connections()
                await asyncio.sleep(6.0)
                store.remove("servers/i-0")
                store.refusing = False
                for _ in range(20):
                    await asyncio.sleep(0.1)
                    self.assertEqual(instance.servers, {"i-0"})
                put_server(store, "i-0")
                for _ in range(30):
                    await asyncio.sleep(0.1)
                    self.assertEqual(instance.servers, {"i-0"})

        run_in_virtual_time(run())

    def test_two_outages_in_a_row_drop_no_server_that_returns(self):
        async def run():
            async with running() as (store, instance):
                for _ in range(2):
                    store.refusing = True
                    store.reset_connections()
                    await asyncio.sleep(5.0)
                    store.remove("servers/i-0")
                    store.refusing = False
                    await asyncio.sleep(0.9)
                self.assertEqual(instance.servers, {"i-0"})
                store.refusing = True
                await asyncio.sleep(6.0)
                self.assertEqual(instance.servers, {"i-0"})

        run_in_virtual_time(run())


class OrderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.changes = []

    def mirror(self):
        """Return a mirror at revision 20, with one server of revision 15."""
        mirror = Mirror(SECTIONS, self)
        mirror.replace("servers/", Page((self.item(15),), 20), era=1)
        self.changes.clear()
        return mirror

    def on_change(self, change):
        self.changes.append(change)

    @staticmethod
    def item(revision):
        return Item("servers/i-0", str(revision).encode(), revision)

    def test_a_removal_from_before_an_entry_was_written_again_is_ignored(self):
        mirror = self.mirror()
        removal = Change("servers/i-0", 12, None)
        mirror.apply("servers/", Changes((removal,), 12))
        self.assertEqual(self.changes, [])
        self.assertEqual(list(mirror.items["servers/"]), ["servers/i-0"])

    def test_an_entry_from_before_its_removal_does_not_return(self):
        mirror = self.mirror()
        mirror.apply("servers/", Changes((Change("servers/i-0", 21, None),), 21))
        late = Change("servers/i-0", 18, self.item(18))
        mirror.apply("servers/", Changes((late,), 19))
        self.assertEqual(mirror.items["servers/"], {})
        self.assertEqual(mirror.revisions["servers/"], 21)

    def test_a_copy_for_a_peer_has_no_section_of_an_earlier_era(self):
        mirror = self.mirror()
        mirror.replace("op/", Page((), 7), era=2)
        mirror.era = 2
        self.assertEqual(list(mirror.snapshot()), ["op/"])

    async def test_a_page_that_was_read_before_a_peer_s_newer_copy_changes_nothing(
        self,
    ):
        mirror = self.mirror()
        mirror.era = 1
        store = FakeSharedStore(latency_s=0.0)
        client = store.client()
        client.era = 1
        log = EventLog("entry-1", 1)
        log.write = lambda event, **details: None
        sync = MirrorSync(mirror, client, random.Random(1), log)
        store.revision = 18
        await sync._load(SECTIONS[1])
        self.assertEqual(self.changes, [])
        self.assertEqual(mirror.revisions["servers/"], 20)


class StableTest(unittest.TestCase):
    """The time since which a store has responded without an outage."""

    def test_lost_connections_are_no_outage(self):
        async def run():
            async with running() as (store, instance):
                for _ in range(20):
                    store.reset_connections()
                    await asyncio.sleep(3.7)
                self.assertEqual(instance.sync.stable_since(), float("-inf"))

        run_in_virtual_time(run())

    def test_the_calls_that_fail_after_a_suspension_are_no_outage(self):
        async def run():
            async with running() as (store, instance):
                # A process that is resumed finds its calls timed out.
                suspended_at = instance.sync.clock()
                instance.sync.last_response_at = suspended_at - 1.0
                for client in ("op/", "servers/", "registration"):
                    error = StoreError("no response in time")
                    instance.sync.record_failure(client, error, suspended_at)
                self.assertTrue(instance.sync.in_outage)
                await asyncio.sleep(10.0)
                self.assertEqual(instance.sync.stable_since(), float("-inf"))

        run_in_virtual_time(run())

    def test_the_time_is_the_present_in_an_outage_and_its_end_afterwards(self):
        async def run():
            async with running() as (store, instance):
                store.refusing = True
                store.reset_connections()
                await asyncio.sleep(10.0)
                now = instance.sync.clock()
                self.assertEqual(instance.sync.stable_since(), now)
                store.refusing = False
                await asyncio.sleep(10.0)
                # The first call that succeeds ends it.
                delay_s = 1.5 * MAX_RETRY_DELAY_S + 4 * LATENCY_S
                ended_at = instance.sync.stable_since()
                self.assertAlmostEqual(ended_at, now, delta=delay_s)

        run_in_virtual_time(run())

    def test_an_outage_goes_on_for_as_long_as_no_call_succeeds(self):
        async def run():
            async with running() as (store, instance):
                store.silent = True
                await asyncio.sleep(4.0)
                for _ in range(50):
                    await asyncio.sleep(0.1)
                    now = instance.sync.clock()
                    self.assertEqual(instance.sync.stable_since(), now)

        run_in_virtual_time(run())

    def test_a_store_back_from_an_older_copy_was_away(self):
        async def run():
            async with running() as (store, instance):
                store.restore(store.copy())
                restored_at = instance.sync.clock()
                await asyncio.sleep(5.0)
                stable_since = instance.sync.stable_since()
                self.assertAlmostEqual(
                    stable_since, restored_at, delta=CHANGE_IN_FORCE_S
                )

        run_in_virtual_time(run())


class ScheduleTest(unittest.TestCase):
    """Random series of faults, changes and copies from a peer."""

    def test_copies_neither_lag_nor_go_back(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_in_virtual_time(self.schedule(seed))

    async def schedule(self, seed):
        rng = random.Random(seed)
        async with running(seed) as (store, instance):
            version = 1
            self.older = store.copy()
            copies = []
            for round_number in range(6):
                newest = instance.version
                for _ in range(rng.randrange(1, 4)):
                    self.disturb(rng, store, version, round_number)
                    await asyncio.sleep(rng.uniform(0.1, 4.0))
                    if rng.random() < 0.5:
                        version += rng.randrange(1, 4)
                        put_configuration(store, version)
                    copies.append(self.copy_of(store))
                    if rng.random() < 0.5:
                        instance.mirror.apply_newer(*rng.choice(copies[-3:]))
                    self.assertGreaterEqual(instance.version, newest)
                    newest = instance.version
                # The bounds hold once nothing disturbs the store, slowness included.
                store.refusing = store.silent = False
                store.latency_s = LATENCY_S
                store.cut_connections()
                put_configuration(store, version := version + 1)
                leaving, joining = f"i-{round_number}", f"i-{round_number + 1}"
                put_server(store, joining)
                put_server(store, leaving, "draining")
                await asyncio.sleep(CONTACT_S)
                self.assertEqual(instance.version, version)
                self.assertEqual(instance.servers, {joining})
                store.remove(f"servers/{leaving}")
                removed = f"gone-{round_number}"
                put_server(store, removed)
                await asyncio.sleep(rng.uniform(0.5, 2.0))
                store.remove(f"servers/{removed}")
                await asyncio.sleep(CHANGE_IN_FORCE_S)
                self.assertEqual(instance.servers, {joining})

    def disturb(self, rng, store, version, round_number):
        """Begin or end one fault of the store."""
        match rng.randrange(6):
            case 0:
                store.refusing = not store.refusing
                store.cut_connections()
            case 1:
                store.silent = not store.silent
            case 2:
                store.cut_connections()
            case 3:
                store.latency_s = rng.choice((0.002, 0.15))
            case 4:
                store.compact()
            case 5:
                # Operators and servers write again what they had written.
                store.restore(self.older)
                put_configuration(store, version)
                serving = f"servers/i-{round_number}"
                for key in [*store.items]:
                    if key.startswith("servers/") and key != serving:
                        store.remove(key)
                put_server(store, f"i-{round_number}")
                self.older = store.copy()

    def copy_of(self, store):
        """Return what a peer with a good connection has read now."""
        sections = {
            section.prefix: Page(
                tuple(
                    item
                    for key, item in store.items.items()
                    if key.startswith(section.prefix)
                ),
                store.revision,
            )
            for section in SECTIONS
        }
        return sections, store.era


class DispatchTest(PlatformCase):
    async def test_a_server_that_leaves_while_a_connection_to_it_opens_gets_no_request(
        self,
    ):
        await self.store.put("op/config", configuration())
        leaving = await self.start_worker("i-0", "desk")
        gateway = await self.start_gateway()
        pool = gateway.adapter.pool
        connect, opened, left = pool.connect, asyncio.Event(), asyncio.Event()

        async def connect_slowly(address, *arguments):
            connection = await connect(address, *arguments)
            if address == leaving.address and not left.is_set():
                opened.set()
                await left.wait()
            return connection

        pool.connect = connect_slowly
        call = asyncio.create_task(self.call(gateway, "/book/1"))
        await opened.wait()
        other = await self.start_worker("i-1", "desk")
        leaving.state = "draining"
        await self.register(leaving)
        await self.wait_until(lambda: identifiers(gateway.view) == {"i-1"})
        left.set()
        self.assertEqual((await call).status, 200)
        self.assertEqual((leaving.ran, len(other.ran)), ([], 1))


if __name__ == "__main__":
    unittest.main()
