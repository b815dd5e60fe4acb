"""Tests that no bound is counted from when an instance noticed an outage's end."""

import asyncio
import dataclasses
import json
import os
import random
import signal
import unittest
from unittest.mock import Mock
from urllib.parse import parse_qs, urlsplit

from cassiaford.gateway import ConnectionPool, HttpClient
from cassiaford.gateway._mirror import Mirror, MirrorSync
from cassiaford.gateway._server_connection import (
    CONNECT_TIMEOUT_S,
    DEFAULT_IDLE_TIMEOUT_S,
    ResponseHead,
)
from cassiaford.gateway._version_terms import PEERS_TELL_WITHIN_S
from cassiaford.gateway._view import digest
from cassiaford.gateway.policy import NamedVersions, Rollout, RolloutServer
from cassiaford.platform._store import PlatformStore
from tests.fakes_shared_store import LATENCY_S
from tests.platform_case import MODEL, PlatformCase, configuration
from tests.test_stale_copies import SECTIONS, running
from tests.version_schedule import VersionSchedule
from tests.virtual_time import run_in_virtual_time

WEIGHTS_WITHIN_S = 6.0
# Moments within the interval of a client's calls.
PHASES_S = tuple(step / 20 for step in range(40))
OUTAGE_S = 8.0


class SilentConnection:
    """A connection to a store without changes, until it goes silent for good."""

    def __init__(self, silent):
        self.silent = silent
        self.usable = True
        self.idle_until = self.reusable_at = 0.0
        self.path, self.query = "", {}

    def start(self, data, accepts=None):
        """Send a call."""
        url = urlsplit(data.split(b" ")[1].decode())
        self.path, self.query = url.path, parse_qs(url.query)

    async def head(self):
        """Wait for the response as long as the store does; return its head."""
        (wait_ms,) = self.query.get("WaitMs", ["0"])
        await asyncio.sleep(LATENCY_S + int(wait_ms) / 1000)
        if self.silent.is_set():
            await asyncio.get_running_loop().create_future()
        return ResponseHead(200, "OK", [])

    async def body(self, max_bytes):
        """Return the response's whole body."""
        document = {
            "items": [],
            "Truncated": False,
            "Events": [],
            "StoreRevision": 7,
        }
        return json.dumps(document).encode(), True

    def finish(self):
        """Return whether the connection may be reused."""
        self.idle_until = asyncio.get_running_loop().time() + DEFAULT_IDLE_TIMEOUT_S
        return self.usable

    def close(self):
        """Close the connection."""
        self.usable = False


class SilentPool(ConnectionPool):
    """A pool whose connections of one moment go silent, while new ones work."""

    def __init__(self):
        super().__init__()
        self.silent = asyncio.Event()

    async def connect(self, address, timeout_s=CONNECT_TIMEOUT_S):
        """Open a connection."""
        await asyncio.sleep(LATENCY_S)
        return SilentConnection(self.silent)

    def silence(self):
        """Silence the connections that are open now."""
        silent, self.silent = self.silent, asyncio.Event()
        silent.set()


class OutageTest(unittest.TestCase):
    """What a store's client takes for an outage, and when it ended."""

    def play(self, scenario):
        """Run a scenario at each phase; return the failures by phase."""
        found = {}
        for phase_s in PHASES_S:
            wrong = run_in_virtual_time(self.at_phase(scenario, phase_s))
            if wrong is not None:
                found[phase_s] = round(wrong, 3)
        return found

    async def at_phase(self, scenario, phase_s):
        """Run a scenario at one moment after the start of an instance."""
        async with running() as (store, instance):
            await asyncio.sleep(phase_s)
            return await scenario(store, instance)

    def test_connections_that_go_silent_are_no_outage(self):
        async def scenario(store, instance):
            store.cut_connections()
            for _ in range(100):
                await asyncio.sleep(0.1)
                if (since := instance.sync.stable_since()) != float("-inf"):
                    return since
            return None

        self.assertEqual(self.play(scenario), {})

    def test_one_silent_idle_connection_is_no_outage(self):
        self.check_silent_idle_connections(1)

    def test_many_silent_idle_connections_are_no_outage(self):
        self.check_silent_idle_connections(6)

    def check_silent_idle_connections(self, count):
        """Check what an instance makes of idle connections that go silent."""

        async def at_phase(phase_s):
            pool = SilentPool()
            store = PlatformStore("store:1", HttpClient(pool))
            mirror = Mirror(SECTIONS, Mock())
            loop = asyncio.get_running_loop()
            sync = MirrorSync(mirror, store, random.Random(1), Mock(), loop.time)
            task = loop.create_task(sync.run())
            await asyncio.sleep(3.0 + phase_s)
            reads = [store.read("idle/") for _ in range(count)]
            await asyncio.gather(*reads)
            pool.silence()
            for _ in range(100):
                await asyncio.sleep(0.1)
                if (since := sync.stable_since()) != float("-inf"):
                    break
            task.cancel()
            return since

        found = {p: run_in_virtual_time(at_phase(p)) for p in PHASES_S}
        wrong = {p: at for p, at in found.items() if at != float("-inf")}
        self.assertEqual(wrong, {})

    def test_a_refused_call_and_a_slow_watch_are_no_outage(self):
        async def scenario(store, instance):
            store.refusing = True
            store.reset_connections()
            await asyncio.sleep(0.05)
            store.refusing = False
            await asyncio.sleep(10.0)
            since = instance.sync.stable_since()
            return since if since != float("-inf") else None

        self.assertEqual(self.play(scenario), {})

    def test_an_outage_does_not_end_later_than_it_did_when_calls_are_refused(self):
        async def scenario(store, instance):
            store.refusing = True
            store.reset_connections()
            return await self.end_noticed_after(store, instance)

        self.assertEqual(self.play(scenario), {})

    def test_an_outage_does_not_end_later_than_it_did_when_calls_hang(self):
        async def scenario(store, instance):
            store.silent = True
            return await self.end_noticed_after(store, instance)

        self.assertEqual(self.play(scenario), {})

    async def end_noticed_after(self, store, instance):
        """End an outage; return how much later it ends for the instance, if so."""
        await asyncio.sleep(OUTAGE_S)
        store.refusing = store.silent = False
        ended_at = instance.sync.clock()
        await asyncio.sleep(10.0)
        late_s = instance.sync.stable_since() - ended_at
        return late_s if late_s > 0.0 else None

    def test_a_suspension_after_an_outage_counts(self):
        async def scenario():
            async with running() as (store, instance):
                instance.sync.suspended_s = lambda: 0.0
                store.refusing = True
                store.reset_connections()
                await asyncio.sleep(OUTAGE_S)
                store.refusing = False
                await asyncio.sleep(3.0)
                before = instance.sync.stable_since()
                instance.sync.suspended_s = lambda: 4.0
                self.assertEqual(instance.sync.stable_since(), before - 4.0)

        run_in_virtual_time(scenario())


class LateChangeTest(unittest.TestCase):
    """Who may say that it saw the naming of a version."""

    def test_a_version_that_a_watch_returns_after_an_outage_was_not_seen(self):
        async def disturb(store, instance):
            store.refusing = True
            store.reset_connections()
            await asyncio.sleep(1.0)
            self.name_version(store)
            await asyncio.sleep(OUTAGE_S)
            store.refusing = False

        self.assertFalse(run_in_virtual_time(self.is_witnessed_after(disturb)))

    def test_a_version_that_a_watch_returns_after_a_suspension_was_not_seen(self):
        async def disturb(store, instance):
            self.name_version(store)
            instance.sync.suspended_s = lambda: 4.0

        self.assertFalse(run_in_virtual_time(self.is_witnessed_after(disturb)))

    def test_a_version_that_a_watch_returns_in_time_was_seen(self):
        async def name(store, instance):
            self.name_version(store)

        self.assertTrue(run_in_virtual_time(self.is_witnessed_after(name)))

    def name_version(self, store):
        """Name a version as operators do."""
        document = {"Model": MODEL, "Version": 2}
        store.put(f"op/version/{MODEL}", json.dumps(document).encode())

    async def is_witnessed_after(self, disturb):
        """Return whether an instance says that it saw a version's naming."""
        async with running() as (store, instance):
            instance.sync.suspended_s = lambda: 0.0
            instance.view.is_reading = lambda: instance.mirror.catching_up
            await asyncio.sleep(3.0)
            await disturb(store, instance)
            await asyncio.sleep(3.0)
            named = instance.view.named_versions
            self.assertEqual(named.newest(MODEL), 2)
            return named.is_witnessed(MODEL, 2)


class RestartOfAllTest(unittest.TestCase):
    """What the store has kept of a version's time, once all have restarted."""

    def test_a_time_that_was_over_for_long_ends_once_it_is_known(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await asyncio.sleep(WEIGHTS_WITHIN_S)
                await schedule.kill_instances()
                await asyncio.sleep(20.0)
                schedule.start("entry-1")
                # Time to read everything, to hear of peers, and to look.
                await asyncio.sleep(PEERS_TELL_WITHIN_S + 0.3)
                bound = schedule.instances["entry-1"].gateway.rollout.bound
                now = schedule.loop.time()
                self.assertLessEqual(bound.last_start(MODEL, 1, now), now)

        run_in_virtual_time(run())


class NextVersionTest(unittest.TestCase):
    """Orders to engines that still lack something once an order took effect."""

    def ordered_at(self, versions_named, load):
        """Return when each order was given; `load` carries one out."""
        named = NamedVersions()
        rollout = Rollout(named, deadline_s=WEIGHTS_WITHIN_S)
        engine = {"m": 1}
        orders = []
        for step in range(round(10 * WEIGHTS_WITHIN_S)):
            now = step / 10
            for model, version, at in versions_named:
                if at == now:
                    named.add(model, version, now)
                    engine.setdefault(model, 1)
            servers = [RolloutServer("a", m, v, 0) for m, v in engine.items()]
            for order in rollout.plan(servers, now):
                orders.append((now, order.model, order.version))
            load(engine, orders, now)
        return orders

    def load_after(self, seconds):
        """Return a function that carries orders out some time later."""

        def load(engine, orders, now):
            for at, model, version in orders:
                if now - at >= seconds:
                    engine[model] = max(engine[model], version)

        return load

    def test_a_version_named_during_a_load_is_ordered_once_that_has_ended(self):
        named = (("m", 2, 0.0), ("m", 3, 0.3))
        orders = self.ordered_at(named, self.load_after(0.5))
        self.assertEqual([version for _, _, version in orders], [2, 3])
        self.assertLess(orders[1][0] - orders[0][0], 1.0)

    def test_a_second_model_is_ordered_once_the_first_is_loaded(self):
        named = (("m", 2, 0.0), ("n", 2, 0.0))
        orders = self.ordered_at(named, self.load_after(0.5))
        self.assertEqual({model for _, model, _ in orders}, {"m", "n"})
        self.assertLess(orders[1][0] - orders[0][0], 1.0)


class NegativeAgeTest(PlatformCase):
    async def test_clocks_read_at_two_moments_do_not_end_reports(self):
        # The process stands still between the readings of its two clocks.
        gateway = await self.start_gateway(ready=False)
        view = gateway.view
        suspended_s = iter((0.0, -0.08))
        view.named_versions.suspended_s = lambda: next(suspended_s, -0.08)
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        named = view.named_versions
        await self.wait_until(lambda: named.newest(MODEL) == 2)
        gateway.peers.send_report()
        ages = view.version_ages()
        self.assertEqual([age.model for age in ages], [digest(MODEL)])
        self.assertGreaterEqual(ages[0].age_s, 0.0)


class ReloadTest(PlatformCase):
    async def test_a_reloaded_bound_is_in_force_for_records(self):
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")
        gateway = await self.start_gateway()
        margin_s = gateway.settings.weights_within_s - gateway.terms.term_s
        shorter = dataclasses.replace(gateway.settings, weights_within_s=3.0)
        gateway.reload = lambda: shorter
        os.kill(os.getpid(), signal.SIGHUP)
        await self.wait_until(lambda: gateway.settings.weights_within_s == 3.0)
        self.assertEqual(gateway.terms.term_s, 3.0 - margin_s)


if __name__ == "__main__":
    unittest.main()
