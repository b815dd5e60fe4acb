"""Tests of instances that register again after a return of the store."""

import asyncio
import random
import unittest

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._mirror import Mirror, MirrorSync, Section
from cassiaford.gateway._registration import RENEWAL_INTERVAL_S, Registration
from cassiaford.gateway.policy import PeerState
from tests.fakes_shared_store import FakeSharedStore
from tests.virtual_time import run_in_virtual_time

PREFIX = "cassiaford/instances/"
INSTANCES = 70
# Leaves as long for the instance to notice within the users' bound of 2 s.
REGISTERED_WITHIN_S = 1.0
# Half of what a site of this size grants.
MAX_WRITES_PER_WINDOW = 60
WINDOW_S = 0.1


class RegistrationCase(unittest.TestCase):
    def play(self, scenario):
        """Run a scenario with registered instances in virtual time."""

        async def run():
            self.loop = asyncio.get_running_loop()
            self.store = FakeSharedStore()
            self.copy = self.store.copy()
            self.registrations = [self.registration(n) for n in range(INSTANCES)]
            tasks = [asyncio.create_task(r.run()) for r in self.registrations]
            # Their phases differ after some rounds.
            await asyncio.sleep(20 * RENEWAL_INTERVAL_S)
            self.assertEqual(len(self.store.items), INSTANCES)
            await scenario()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        run_in_virtual_time(run())

    def registration(self, number):
        """Return an instance's registration."""
        log = EventLog(f"entry-{number}", 1)
        log.write = lambda event, **details: None
        client, rng = self.store.client(), random.Random(number)
        mirror = Mirror((Section(PREFIX),), None)
        sync = MirrorSync(mirror, client, rng, log, self.loop.time)
        state = PeerState(f"entry-{number}", 1, "a", "10.0.0.1:80", "10.0.0.1:81")
        return Registration(f"{PREFIX}{number}", state, client, rng, sync)

    async def calls_until(self, seconds):
        """Return the most calls of all instances in a window."""
        end = self.loop.time() + seconds
        most = 0
        while self.loop.time() < end:
            before = sum(r.store.calls for r in self.registrations)
            await asyncio.sleep(WINDOW_S)
            calls = sum(r.store.calls for r in self.registrations)
            most = max(most, calls - before)
        return most


class RestoredStoreTest(RegistrationCase):
    def test_all_register_within_a_second_of_noticing_and_within_the_stores_rate(self):
        async def scenario():
            self.store.restore(self.copy)
            for registration in self.registrations:
                registration.store.era = self.store.era
            most = await self.calls_until(REGISTERED_WITHIN_S)
            self.assertEqual(len(self.store.items), INSTANCES)
            self.assertLessEqual(most, MAX_WRITES_PER_WINDOW)

        self.play(scenario)

    def test_an_entry_that_was_removed_is_written_again_within_a_second(self):
        async def scenario():
            for registration in self.registrations:
                self.store.remove(registration.key)
                registration.on_entry_removed()
            most = await self.calls_until(REGISTERED_WITHIN_S)
            self.assertEqual(len(self.store.items), INSTANCES)
            self.assertLessEqual(most, MAX_WRITES_PER_WINDOW)

        self.play(scenario)

    def test_an_instance_that_cannot_register_does_not_hurry(self):
        async def scenario():
            self.store.refusing = True
            for registration in self.registrations:
                registration.on_entry_removed()
            await asyncio.sleep(2 * RENEWAL_INTERVAL_S)
            before = sum(r.store.calls for r in self.registrations)
            await asyncio.sleep(10 * RENEWAL_INTERVAL_S)
            calls = sum(r.store.calls for r in self.registrations) - before
            self.assertLess(calls, 13 * INSTANCES)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
