"""Tests that no instance counts the age of a version from its own start."""

import asyncio
import contextlib
import unittest
from unittest import mock

from cassiaford.gateway import _version_terms
from cassiaford.gateway._event_log import SAMPLE_EVERY
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._own_keys import VERSIONS_PREFIX
from cassiaford.gateway._peer_codec import (
    PeerMessageError,
    Report,
    decode_message,
    encode_report,
)
from cassiaford.gateway._version_terms import RECORDS, TERMS, decode_record
from cassiaford.gateway._view import digest
from cassiaford.gateway.policy import NamedVersions, VersionAge
from cassiaford.gateway.policy._named_versions import MAX_VERSIONS
from cassiaford.logs import Event
from tests.platform_case import MODEL, PlatformCase, configuration
from tests.version_schedule import (
    CONTACT_S,
    MAX_YOUNGER_S,
    TERM_S,
    VersionSchedule,
)
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


class LogTest(PlatformCase):
    """What the log tells of a version's age and of requests on replaced weights."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines = []
        await self.store.put("op/config", configuration())
        self.gateway = await self.start_gateway(ready=False)
        self.gateway.log.write = lambda event, **details: self.lines.append(
            (event, details)
        )

    def logged(self, event):
        """Return the fields of all lines of an event."""
        return [details for logged, details in self.lines if logged is event]

    async def name(self, version):
        """Name a version, and wait until the gateway has it."""
        document = {"Model": MODEL, "Version": version}
        await self.store.put(f"op/version/{MODEL}", document)
        named = self.gateway.view.named_versions
        await self.wait_until(lambda: named.newest(MODEL) == version)

    async def test_a_version_is_logged_with_its_source(self):
        await self.wait_until(lambda: self.gateway.view.configuration)
        await self.name(2)
        self.gateway.view.update_version_ages((VersionAge(digest(MODEL), 3, 4.0),))
        seen, told = self.logged(Event.VERSION_NAMED)
        self.assertEqual((seen["source"], seen["age_s"]), ("seen", 0.0))
        self.assertEqual((told["source"], told["age_s"]), ("peer", 4.0))

    async def test_a_large_correction_is_logged_once(self):
        await self.name(2)
        for age_s in (4.0, 4.1, 4.0):
            age = VersionAge(digest(MODEL), 2, age_s)
            self.gateway.view.update_version_ages((age,))
        (line,) = self.logged(Event.VERSION_AGE_CORRECTED)
        self.assertEqual((line["version"], line["source"]), (2, "peer"))
        self.assertGreater(line["corrected_by_s"], 3.0)

    async def test_requests_on_replaced_weights_are_logged_within_bounds(self):
        server = BackendServer("i-0", "engine", "h:1", "a", 8, versions={MODEL: 1})
        await self.name(2)
        for _ in range(SAMPLE_EVERY):
            self.gateway.view.log_replaced_weights(server, MODEL)
            self.gateway.log.write_sampled(Event.REQUEST_COMPLETED)
        (line,) = self.logged(Event.REPLACED_WEIGHTS_USED)
        self.assertEqual((line["server"], line["weights"]), ("i-0", 1))
        self.assertGreaterEqual(line["age_s"], 0.0)
        self.assertEqual(len(self.logged(Event.REQUEST_COMPLETED)), 1)


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

    async def test_a_restart_of_all_instances_does_not_make_a_version_new(self):
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "engine")
        with mock.patch.object(_version_terms, "PEERS_TELL_WITHIN_S", 0.0):
            first = await self.start_gateway("entry-1")
            await self.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
            await self.wait_until(lambda: self.leases_below(TERMS))
            await self.stop_gateway(first)
            for lease in self.leases_below(TERMS):
                await self.store.expire_lease(lease)
            second = await self.start_gateway("entry-1")
            now, named = second.loop.time, second.view.named_versions
            await self.wait_until(lambda: named.replaced_for_s(MODEL, 1, now()) > 5.0)

    def leases_below(self, prefix):
        """Return the leases of the keys of versions below a prefix."""
        prefix = VERSIONS_PREFIX + prefix
        items = self.store.items
        return {items[key]["Lease"] for key in items if key.startswith(prefix)}

    async def stop_gateway(self, gateway):
        """End a gateway without a planned stop."""
        self.tasks[gateway].cancel()
        await gateway.close()

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

    def test_versions_are_not_new_again_after_restarts_of_all_instances(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(seed, kill_all=True)

    def play(self, seed, kill_all=False):
        async def run():
            schedule = VersionSchedule(seed, kill_all)
            await schedule.run()
            self.assertGreater(schedule.checks, 1000)
            self.assertEqual(schedule.wrong[:5], [])

        run_in_virtual_time(run())


class RecordTest(unittest.TestCase):
    """The records of versions in the store, in virtual time."""

    def test_the_time_of_a_version_goes_on_while_all_instances_are_down(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await asyncio.sleep(2.0)
                await schedule.kill_instances()
                await asyncio.sleep(TERM_S - 3.0)
                schedule.start("entry-1")
                await asyncio.sleep(1.0 + CONTACT_S)
                self.assertGreaterEqual(schedule.believed_s("entry-1"), TERM_S)

        run_in_virtual_time(run())

    def test_a_version_is_not_over_while_its_time_lasts(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await asyncio.sleep(0.6)
                await schedule.kill_instances()
                schedule.start("entry-1")
                await asyncio.sleep(TERM_S - 0.7)
                self.assertLess(schedule.believed_s("entry-1"), TERM_S)

        run_in_virtual_time(run())

    def test_a_lease_that_ends_early_does_not_age_what_an_instance_saw(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await asyncio.sleep(1.0)
                self.assertNotEqual(schedule.stored(TERMS), [])
                for key in schedule.stored(TERMS):
                    schedule.store.remove(key)
                await schedule.instances["entry-1"].stop()
                schedule.start("entry-1")
                await asyncio.sleep(CONTACT_S)
                for name in schedule.instances:
                    self.assertLess(schedule.believed_s(name), TERM_S)

        run_in_virtual_time(run())

    def test_a_version_that_nobody_recorded_is_as_old_as_its_sight(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await schedule.kill_instances()
                schedule.start("entry-1")
                await asyncio.sleep(CONTACT_S)
                believed_s = schedule.believed_s("entry-1")
                self.assertAlmostEqual(believed_s, CONTACT_S, delta=0.5)

        run_in_virtual_time(run())

    def test_a_store_from_an_older_copy_makes_no_version_older(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                copy = schedule.store.copy()
                await asyncio.sleep(1.0)
                schedule.store.restore(copy)
                self.assertEqual(schedule.stored(TERMS), [])
                await schedule.instances["entry-1"].stop()
                schedule.start("entry-1")
                await asyncio.sleep(CONTACT_S)
                for name in schedule.instances:
                    believed_s, true_s = schedule.believed_s(name), 1.0 + CONTACT_S
                    self.assertLessEqual(believed_s, true_s + 0.001)
                    self.assertGreaterEqual(believed_s, true_s - 0.5)

        run_in_virtual_time(run())

    def test_a_lost_response_to_the_write_leaves_one_record(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                while not schedule.stored(TERMS):
                    await asyncio.sleep(0.001)
                schedule.store.cut_connections()
                record = schedule.stored(RECORDS)
                await asyncio.sleep(2.0)
                self.assertEqual(schedule.stored(RECORDS), record)
                await schedule.kill_instances()
                schedule.start("entry-1")
                await asyncio.sleep(TERM_S - 2.0 + MAX_YOUNGER_S)
                self.assertGreaterEqual(schedule.believed_s("entry-1"), TERM_S)
                self.assertLessEqual(
                    schedule.believed_s("entry-1"), schedule.true_age_s(1)
                )

        run_in_virtual_time(run())

    def test_a_holder_whose_copy_lags_behind_overwrites_nothing(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await asyncio.sleep(1.0)
                (key,) = schedule.stored(RECORDS)
                record = schedule.store.items[key]
                for instance in schedule.instances.values():
                    instance.gateway.terms.records.clear()
                await asyncio.sleep(1.0)
                self.assertEqual(schedule.store.items[key], record)

        run_in_virtual_time(run())

    def test_many_versions_leave_few_keys(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                for _ in range(150):
                    schedule.name_version()
                    await asyncio.sleep(0.3)
                await asyncio.sleep(TERM_S + 1.0)
                (key,) = schedule.stored(RECORDS)
                record = decode_record(schedule.store.items[key].value, 0)
                self.assertLessEqual(len(record.versions), 2 * MAX_VERSIONS)
                self.assertEqual(schedule.stored(TERMS), [])

        run_in_virtual_time(run())

    def test_records_are_read_before_what_tells_that_their_time_lasts(self):
        # The store's pages come in the order of keys, and are not a snapshot.
        self.assertLess(RECORDS, TERMS)

    def test_a_malformed_record_is_written_anew(self):
        async def run():
            schedule = VersionSchedule(1)
            async with schedule.calm():
                await asyncio.sleep(1.0)
                (key,) = schedule.stored(RECORDS)
                schedule.store.put(key, b"[]")
                await asyncio.sleep(1.0)
                record = decode_record(schedule.store.items[key].value, 0)
                self.assertIn(2, record.versions)

        run_in_virtual_time(run())

    def test_a_malformed_record_is_refused(self):
        values = (b"", b"[]", b"{}", b'{"model": "m", "versions": 3}', b"\xff")
        for value in (*values, b'{"model": "m", "versions": ["new"]}'):
            with self.assertRaises(ValueError):
                decode_record(value, 1)


if __name__ == "__main__":
    unittest.main()
