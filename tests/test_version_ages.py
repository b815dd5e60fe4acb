"""Tests that no instance counts the age of a version from its own start."""

import contextlib
import unittest

from cassiaford.gateway._peer_codec import (
    PeerMessageError,
    Report,
    decode_message,
    encode_report,
)
from cassiaford.gateway._view import digest
from cassiaford.gateway.policy import NamedVersions, VersionAge
from cassiaford.gateway.policy._named_versions import MAX_VERSIONS
from tests.platform_case import MODEL, PlatformCase, configuration
from tests.version_schedule import VersionSchedule
from tests.virtual_time import run_in_virtual_time

SEEDS = 3


class NamedVersionsTest(unittest.TestCase):
    def test_a_version_is_as_old_as_the_one_who_knew_it_first_says(self):
        named = NamedVersions()
        named.add("m", 2, now=10.0)
        named.add("m", 2, now=11.0, age_s=3.0)
        named.add("m", 2, now=12.0, age_s=2.0)
        self.assertEqual(named.replaced_for_s("m", 1, now=12.0), 4.0)

    def test_a_version_that_was_replaced_before_the_start_decides(self):
        named = NamedVersions()
        named.add("m", 3, now=10.0)
        self.assertFalse(named.add("m", 2, now=10.0, age_s=5.0))
        self.assertEqual(named.replaced_for_s("m", 1, now=10.0), 5.0)
        self.assertEqual(named.replaced_for_s("m", 2, now=10.0), 0.0)
        self.assertEqual(named.newest("m"), 3)

    def test_a_version_is_at_least_as_old_as_a_newer_one(self):
        named = NamedVersions()
        named.add("m", 2, now=10.0)
        named.add("m", 3, now=10.0, age_s=5.0)
        self.assertEqual(named.replaced_for_s("m", 1, now=10.0), 5.0)

    def test_a_suspension_of_the_machine_counts(self):
        suspended_s = 0.0
        named = NamedVersions(lambda: suspended_s)
        named.add("m", 2, now=10.0)
        suspended_s = 4.0
        self.assertEqual(named.replaced_for_s("m", 1, now=11.0), 5.0)
        self.assertEqual(named.ages("m", now=11.0), [VersionAge("m", 2, 5.0)])

    def test_many_versions_do_not_push_out_those_on_which_ages_depend(self):
        named = NamedVersions()
        in_use = (0, 7, 400)
        for version in range(1, 1000):
            named.add("m", version, now=float(version))
            named.retain("m", in_use)
        self.assertLessEqual(len(named.versions["m"]), MAX_VERSIONS + len(in_use))
        for version in in_use:
            expected_s = 1000.0 - (version + 1)
            self.assertEqual(named.replaced_for_s("m", version, 1000.0), expected_s)


class ReportTest(unittest.TestCase):
    AGES = (VersionAge(7, 2, 5.0), VersionAge(7, 1 << 40, 0.25))

    def test_ages_arrive_and_none_is_older_than_it_was_sent(self):
        report = Report(1, 1, 1, version_ages=self.AGES)
        self.assertEqual(decode_message(encode_report(report)), report)
        report = Report(1, 1, 1, version_ages=(VersionAge(7, 2, 1.0009),))
        (age,) = decode_message(encode_report(report)).version_ages
        self.assertEqual(age.age_s, 1.0)

    def test_what_no_field_can_hold_does_not_stop_reports(self):
        ages = (VersionAge(7, -1, 1.0), VersionAge(7, 1 << 70, 1.0))
        report = Report(1, 1, 1, version_ages=(*ages, VersionAge(7, 2, 1e9)))
        (age,) = decode_message(encode_report(report)).version_ages
        self.assertLess(age.age_s, 1e9)

    def test_a_truncated_report_makes_no_version_older(self):
        data = encode_report(Report(1, 1, 1, version_ages=self.AGES))
        for length in range(len(data)):
            with contextlib.suppress(PeerMessageError):
                ages = decode_message(data[:length]).version_ages
                self.assertLessEqual(set(ages), set(self.AGES))


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

    async def test_an_age_told_before_the_first_read_is_kept(self):
        gateway = await self.start_gateway(ready=False)
        gateway.view.update_version_ages((VersionAge(digest(MODEL), 2, 4.0),))
        await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 3})
        named = gateway.view.named_versions
        await self.wait_until(lambda: named.newest(MODEL) == 3)
        now = gateway.loop.time()
        self.assertGreaterEqual(named.replaced_for_s(MODEL, 1, now), 4.0)


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
