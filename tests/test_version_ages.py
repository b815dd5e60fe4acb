"""Tests that no instance counts the age of a version from its own start."""

import unittest

from tests.platform_case import MODEL, PlatformCase, configuration
from tests.version_schedule import VersionSchedule
from tests.virtual_time import run_in_virtual_time

SEEDS = 3


class RestartTest(PlatformCase):
    async def test_a_restarted_instance_does_not_take_a_version_for_a_new_one(self):
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "desk")
        first = await self.start_gateway("entry-1")
        now = first.loop.time
        first.view.now = lambda: now() - 4.0
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        await self.wait_until(lambda: first.view.named_versions.newest(MODEL) == 2)
        first.view.now = now
        second = await self.start_gateway("entry-2")
        # It is live for another instance once that one has a whole report of it.
        await self.wait_until(lambda: second.table.live(now()))
        known = second.view.named_versions
        self.assertGreaterEqual(known.replaced_for_s(MODEL, 1, now()), 4.0)


class ScheduleTest(unittest.TestCase):
    def test_versions_are_as_old_as_they_are_through_restarts_and_lost_reports(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed):
        async def run():
            schedule = VersionSchedule(seed)
            await schedule.run()
            self.assertGreater(schedule.checks, 1000)
            self.assertEqual(schedule.wrong[:5], [])

        run_in_virtual_time(run())


if __name__ == "__main__":
    unittest.main()
