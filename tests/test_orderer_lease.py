"""Tests of the orderer's lease over a return of the store from an older copy."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._mirror import Mirror, MirrorSync, Section
from cassiaford.gateway._orders import LEASE_S, Orderer
from tests.fakes_shared_store import FakeSharedStore
from tests.virtual_time import run_in_virtual_time

KEY = "cassiaford/orderer"
# Steps in which the store's return moves against the holder's renewals.
OFFSETS = 25
OFFSET_STEP_S = 0.02
CHECK_INTERVAL_S = 0.005
# The users' bound on the pause in orders.
MAX_PAUSE_S = 1.5 * LEASE_S


class OrdererCase(unittest.TestCase):
    def orderer(self, name, store):
        """Return an orderer that always has work."""
        log = EventLog(name, 1)
        log.write = lambda event, **details: None
        client = store.client()
        rng = random.Random(name)
        clock = asyncio.get_running_loop().time
        sync = MirrorSync(Mirror((Section(KEY),), None), client, rng, log, clock)
        rollout = SimpleNamespace(
            outdated=lambda servers: True,
            plan=lambda servers, now, demand: (),
            turns={},
            out_of_use=(),
        )
        view = SimpleNamespace(named_versions=SimpleNamespace(models=()))
        return Orderer(name, KEY, view, client, None, rollout, rng, sync, log)

    def play(self, scenario):
        """Run a scenario in virtual time, at several phases of the renewals."""
        for number in range(OFFSETS):
            with self.subTest(offset=number):
                run_in_virtual_time(self._play_one(scenario, number * OFFSET_STEP_S))

    async def _play_one(self, scenario, offset_s):
        self.store = FakeSharedStore()
        self.copy = self.store.copy()
        self.orderers, self.tasks = [], []
        clock = asyncio.get_running_loop().time
        with mock.patch("cassiaford.gateway._orders.boot_time", clock):
            await self.start("entry-1")
            await asyncio.sleep(2 * LEASE_S + offset_s)
            self.assertTrue(self.orderers[0].holds_lease)
            await scenario()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def start(self, name):
        """Start an orderer that has read the store."""
        orderer = self.orderer(name, self.store)
        await orderer.store.read(KEY)
        self.orderers.append(orderer)
        self.tasks.append(asyncio.create_task(orderer.run()))

    async def watch(self, seconds):
        """Check for a time that at most one holds the lease; return who did last."""
        end = asyncio.get_running_loop().time() + seconds
        holders = []
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(CHECK_INTERVAL_S)
            holders = [o.instance for o in self.orderers if o.holds_lease]
            self.assertLessEqual(len(holders), 1)
        return holders


class RestoredStoreTest(OrdererCase):
    def test_an_instance_that_starts_after_the_return_waits_for_a_former_holder(self):
        async def scenario():
            self.store.restore(self.copy)
            await self.start("entry-2")
            self.orderers[0].on_key_changed(False)
            self.assertTrue(await self.watch(MAX_PAUSE_S))

        self.play(scenario)

    def test_an_instance_that_learns_of_the_return_as_it_acquires_waits(self):
        async def scenario():
            await self.start("entry-2")
            self.orderers[1].on_key_changed(True)
            await asyncio.sleep(LEASE_S)
            self.store.restore(self.copy)
            self.orderers[1].on_key_changed(False)
            self.orderers[0].on_key_changed(False)
            self.assertTrue(await self.watch(MAX_PAUSE_S))

        self.play(scenario)

    def test_a_key_written_under_a_lease_given_out_again_is_removed(self):
        async def scenario():
            self.tasks[0].cancel()
            await asyncio.sleep(2 * LEASE_S)
            acquirer = self.orderer("entry-2", self.store)
            await acquirer.store.read(KEY)
            self.orderers.append(acquirer)
            other = self.store.client()
            grant = acquirer.store.grant_lease

            async def grant_and_restore(time_to_live_s):
                lease = await grant(time_to_live_s)
                self.store.restore(self.copy)
                while await other.grant_lease(100.0) != lease:
                    pass
                acquirer.store.grant_lease = grant
                return lease

            acquirer.store.grant_lease = grant_and_restore
            self.tasks.append(asyncio.create_task(acquirer.run()))
            while KEY not in self.store.items:
                await asyncio.sleep(CHECK_INTERVAL_S)
            await asyncio.sleep(LEASE_S / 2)
            self.assertNotIn(KEY, self.store.items)
            acquirer.on_key_changed(False)
            self.assertEqual(await self.watch(MAX_PAUSE_S), ["entry-2"])

        run_in_virtual_time(self._play_one(scenario, 0.0))


if __name__ == "__main__":
    unittest.main()
