"""Tests of which instances store what they learned of crashes from their peers."""

import asyncio
import unittest

from cassiaford.gateway._crashes import PARTS_NAME
from cassiaford.gateway._peer_codec import server_crash
from cassiaford.gateway._store import Change, Item
from cassiaford.suspects import CrashReport
from tests.fakes_shared_store import FakeSharedStore
from tests.test_suspicion_ages import FATAL, PREFIX, MonitorCase
from tests.virtual_time import run_in_virtual_time

PART = 0xDEAD0001
CRASHES = 3
UPDATE_INTERVAL_S = 0.2
# Within it a peer's finding is in the store.
STORED_WITHIN_S = 3.0
INSTANCES = 30
LAG_S = 0.3


class CrashRecordTest(MonitorCase):
    def play(self, scenario):
        """Run a scenario in virtual time."""

        async def run():
            self.store = FakeSharedStore()
            self.tasks = []
            await scenario()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        run_in_virtual_time(run())

    def start(self, name):
        """Return a monitor that runs."""
        monitor = self.monitor(name, self.store)

        async def update():
            while True:
                monitor.update()
                await asyncio.sleep(UPDATE_INTERVAL_S)

        self.tasks += [asyncio.create_task(run()) for run in (monitor.run, update)]
        return monitor

    async def learn(self, *monitors):
        """Have monitors learn of all crashes from peers."""
        for number in range(CRASHES):
            report = CrashReport(server_crash(number), (FATAL,), (PART,))
            for monitor in monitors:
                monitor.apply(report)
            await asyncio.sleep(0.1)

    def stored(self):
        """Return the names in the store, without their writers."""
        return {key.removeprefix(PREFIX).partition("/")[0] for key in self.store.items}

    @staticmethod
    def names():
        """Return the names that are stored for the crashes."""
        return {FATAL, f"{PARTS_NAME}{PART:016x}"}

    def test_what_is_found_only_from_reports_of_peers_is_stored(self):
        async def scenario():
            await self.learn(self.start("entry-1"))
            await asyncio.sleep(STORED_WITHIN_S)
            self.assertEqual(self.stored(), self.names())

        self.play(scenario)

    def test_what_a_peer_stores_is_not_stored_again(self):
        async def scenario():
            monitor = self.start("entry-1")
            await self.learn(monitor)
            for name in self.names():
                key = f"{PREFIX}{name}/entry-2"
                monitor.apply_change(Change(key, 1, Item(key, b"[]", 1)))
            await asyncio.sleep(STORED_WITHIN_S)
            self.assertEqual(self.stored(), set())

        self.play(scenario)

    def test_a_record_whose_writer_has_ended_is_taken_over(self):
        async def scenario():
            monitor = self.start("entry-1")
            for name in self.names():
                key = f"{PREFIX}{name}/entry-2"
                monitor.apply_change(Change(key, 1, Item(key, b"[]", 1)))
            await self.learn(monitor)
            await asyncio.sleep(STORED_WITHIN_S)
            for name in self.names():
                monitor.apply_change(Change(f"{PREFIX}{name}/entry-2", 2, None))
            await asyncio.sleep(STORED_WITHIN_S)
            self.assertEqual(self.stored(), self.names())

        self.play(scenario)

    def test_a_record_that_cannot_be_read_does_not_count_as_stored(self):
        async def scenario():
            monitor = self.start("entry-1")
            for name in self.names():
                key = f"{PREFIX}{name}/entry-2"
                with self.assertRaises(ValueError):
                    monitor.apply_change(Change(key, 1, Item(key, b"[7]", 1)))
            await self.learn(monitor)
            await asyncio.sleep(STORED_WITHIN_S)
            self.assertEqual(self.stored(), self.names())

        self.play(scenario)

    def test_few_of_many_instances_store_what_all_learned_from_peers(self):
        async def scenario():
            monitors = [self.start(f"entry-{n}") for n in range(INSTANCES)]

            async def watch(client):
                revision = self.store.revision
                while True:
                    changes = await client.watch(PREFIX, revision, 1.0)
                    await asyncio.sleep(LAG_S)
                    revision = changes.revision
                    for change in changes.changes:
                        for monitor in monitors:
                            monitor.apply_change(change)

            self.tasks.append(asyncio.create_task(watch(self.store.client())))
            await self.learn(*monitors)
            await asyncio.sleep(STORED_WITHIN_S)
            self.assertEqual(self.stored(), self.names())
            writers = {key.rpartition("/")[2] for key in self.store.items}
            self.assertLess(len(writers), INSTANCES / 2)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
