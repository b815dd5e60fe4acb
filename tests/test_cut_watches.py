"""Tests that a watch whose connection is cut is not taken for an outage."""

import asyncio
import contextlib
import json
import random
import unittest

from cassiaford.gateway import StoreDisconnectedError
from tests.fakes_shared_store import LATENCY_S
from tests.platform_case import MODEL
from tests.test_stale_copies import (
    CHANGE_IN_FORCE_S,
    CONTACT_S,
    Instance,
    put_configuration,
    put_server,
    running,
)
from tests.virtual_time import run_in_virtual_time

SEEDS = 40
# The time between two cuts of all watches.
CUT_INTERVALS_S = (0.25, 0.5, 1.0, 1.3)
NO_OUTAGE = float("-inf")
REREGISTRATION_S = 2.0


@contextlib.asynccontextmanager
async def cutting(store, interval_s):
    """Cut the connections of all watches that wait, again and again."""

    async def cut():
        while True:
            await asyncio.sleep(interval_s)
            store.reset_connections()

    task = asyncio.create_task(cut())
    try:
        yield
    finally:
        task.cancel()


class LeavingServerTest(unittest.TestCase):
    """A server whose entry is removed while watches are cut gets no request."""

    def test_it_is_dropped_in_time_and_for_good(self):
        for interval_s in CUT_INTERVALS_S:
            with self.subTest(interval_s=interval_s):
                run_in_virtual_time(self.leave(interval_s))

    async def leave(self, interval_s):
        async with running() as (store, instance), cutting(store, interval_s):
            put_server(store, "i-1")
            await asyncio.sleep(4.0)
            self.assertEqual(instance.servers, {"i-0", "i-1"})
            store.remove("servers/i-1")
            await asyncio.sleep(CHANGE_IN_FORCE_S)
            for _ in range(60):
                self.assertEqual(instance.servers, {"i-0"})
                await asyncio.sleep(0.1)

    def test_it_is_dropped_if_the_watch_is_cut_as_it_leaves(self):
        async def run():
            async with running() as (store, instance):
                put_server(store, "i-1")
                await asyncio.sleep(0.5)
                store.reset_connections()
                store.remove("servers/i-1")
                await asyncio.sleep(0.5)
                self.assertEqual(instance.servers, {"i-0"})

        run_in_virtual_time(run())


class BeliefTest(unittest.TestCase):
    """What an instance makes of cut watches alone."""

    def test_no_outage_and_no_gap_is_believed(self):
        for interval_s in CUT_INTERVALS_S:
            with self.subTest(interval_s=interval_s):
                run_in_virtual_time(self.watch_only(interval_s))

    async def watch_only(self, interval_s):
        async with running() as (store, instance), cutting(store, interval_s):
            # The renewals of a lease would show that the store responds.
            instance.tasks[1].cancel()
            sync = instance.sync
            followed_since = sync.followed_since
            for _ in range(100):
                await asyncio.sleep(0.1)
                self.assertFalse(sync.in_outage)
                self.assertTrue(sync.reachable)
                self.assertEqual(sync.stable_since(), NO_OUTAGE)
            self.assertEqual(sync.followed_since, followed_since)

    def test_a_version_that_is_named_meanwhile_was_seen(self):
        for interval_s in CUT_INTERVALS_S:
            with self.subTest(interval_s=interval_s):
                run_in_virtual_time(self.name_version(interval_s))

    async def name_version(self, interval_s):
        async with running() as (store, instance), cutting(store, interval_s):
            instance.view.is_reading = lambda: instance.mirror.catching_up
            await asyncio.sleep(4.0)
            document = {"Model": MODEL, "Version": 2}
            store.put(f"op/version/{MODEL}", json.dumps(document).encode())
            await asyncio.sleep(CHANGE_IN_FORCE_S)
            self.assertTrue(instance.view.named_versions.is_witnessed(MODEL, 2))

    def test_one_client_whose_connections_always_break_is_failing(self):
        async def run():
            async with running() as (store, instance):
                sync, client = instance.sync, instance.client
                watch = client.watch

                async def break_servers(prefix, after, wait_s):
                    if prefix == "servers/":
                        raise StoreDisconnectedError("the connection broke")
                    return await watch(prefix, after, wait_s)

                client.watch = break_servers
                await asyncio.sleep(CONTACT_S)
                self.assertFalse(sync.reachable)
                client.watch = watch
                await asyncio.sleep(CONTACT_S)
                self.assertTrue(sync.reachable)

        run_in_virtual_time(run())


class OutageTest(unittest.TestCase):
    """A true outage that begins or ends beside broken connections."""

    def test_an_entry_that_lapsed_in_an_outage_serves_until_it_is_back(self):
        for away in ("refusing", "silent"):
            for cuts_s in (0.3, 1.0, 100.0):
                with self.subTest(away=away, cuts_s=cuts_s):
                    run_in_virtual_time(self.lapse(away, cuts_s))

    async def lapse(self, away, cuts_s):
        async with running() as (store, instance), cutting(store, cuts_s):
            setattr(store, away, True)
            store.reset_connections()
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.assertEqual(instance.servers, {"i-0"})
            store.remove("servers/i-0")
            setattr(store, away, False)
            for _ in range(round(10 * REREGISTRATION_S)):
                await asyncio.sleep(0.1)
                self.assertEqual(instance.servers, {"i-0"})
            put_server(store, "i-0")
            for _ in range(30):
                await asyncio.sleep(0.1)
                self.assertEqual(instance.servers, {"i-0"})

    def test_a_server_that_is_gone_after_an_outage_is_dropped_beside_cuts(self):
        async def run():
            async with running() as (store, instance):
                store.refusing = True
                store.reset_connections()
                await asyncio.sleep(5.0)
                store.remove("servers/i-0")
                store.refusing = False
                async with cutting(store, 1.0):
                    await asyncio.sleep(CONTACT_S + CHANGE_IN_FORCE_S)
                    self.assertEqual(instance.servers, set())

        run_in_virtual_time(run())

    def test_the_store_is_away_from_when_the_first_connection_broke(self):
        async def run():
            async with running() as (store, instance):
                store.refusing = True
                store.reset_connections()
                await asyncio.sleep(CHANGE_IN_FORCE_S + 2 * LATENCY_S)
                now = instance.sync.clock()
                self.assertEqual(instance.sync.stable_since(), now)

        run_in_virtual_time(run())


class ScheduleTest(unittest.TestCase):
    """Random cuts beside true outages, restarted instances and servers that leave."""

    def test_servers_that_left_get_no_request_once_the_store_is_stable(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_in_virtual_time(self.schedule(seed))

    async def schedule(self, seed):
        rng = random.Random(seed)
        async with running(seed) as (store, instance):
            for number in range(6):
                leaving, staying = f"i-{number}", f"i-{number + 1}"
                put_server(store, staying)
                if rng.random() < 0.4:
                    store.refusing = True
                    store.reset_connections()
                    await asyncio.sleep(rng.uniform(0.0, 5.0))
                    store.refusing = False
                if rng.random() < 0.4:
                    await instance.stop()
                    instance = Instance(store, rng.randrange(1000))
                await asyncio.sleep(CONTACT_S)
                async with cutting(store, rng.uniform(0.2, 1.4)):
                    await asyncio.sleep(rng.uniform(0.0, 3.0))
                    store.remove(f"servers/{leaving}")
                    put_configuration(store, number + 2)
                    await asyncio.sleep(CHANGE_IN_FORCE_S)
                    for _ in range(30):
                        self.assertEqual(instance.servers, {staying})
                        self.assertEqual(instance.version, number + 2)
                        await asyncio.sleep(0.1)
            await instance.stop()


if __name__ == "__main__":
    unittest.main()
