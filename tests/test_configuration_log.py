"""Tests of the configuration log in the key-value service."""

import threading
import unittest

from cassiaford.config import (
    ChangeError,
    Customer,
    PutCustomer,
    PutKey,
    issue_key,
)
from cassiaford.fleet import (
    Author,
    ConfigurationLog,
    ConfigurationLogError,
    EntryError,
    LostRaceError,
    UnknownOutcomeError,
)
from cassiaford.fleet._log import (
    HEAD_KEY,
    LOG_PREFIX,
    PARTS_PREFIX,
    log_key,
)
from cassiaford.fleet._revision_codec import encode_revision
from cassiaford.keyvalue import OutcomeUnknownError, UnavailableError
from tests.fakes_keyvalue import FakeKeyValueService

OPERATOR = Author("operator")


def customer(number):
    return PutCustomer(Customer(f"customer-{number}", 1, 1))


class LogCase(unittest.TestCase):
    def setUp(self):
        self.key_value = FakeKeyValueService()
        self.log = ConfigurationLog(self.key_value, sleep=lambda seconds: None)

    def write(self, count):
        """Write revisions and return the configuration after them."""
        base = self.log.load()
        for number in range(base.revision + 1, base.revision + count + 1):
            self.log.append(self.log.load(), [customer(number)], OPERATOR)
        return self.log.load()


class AppendTest(LogCase):
    def test_only_one_of_several_racing_operators_writes_a_revision(self):
        won, lost = [], []
        barrier = threading.Barrier(8)

        def operate(name):
            base = self.log.load()
            barrier.wait()
            try:
                change = PutCustomer(Customer(name, 1, 1))
                won.append(self.log.append(base, [change], Author(name)))
            except LostRaceError as error:
                lost.append(error.winner)

        threads = [
            threading.Thread(target=operate, args=(f"operator-{n}",)) for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((len(won), len(lost)), (1, 7))
        self.assertEqual({winner.nonce for winner in lost}, {won[0].nonce})
        self.assertEqual(set(self.log.load().customers), {won[0].author})

    def test_a_lost_response_does_not_write_twice(self):
        self.key_value.lost_responses = 2
        self.log.append(self.log.load(), [customer(1)], OPERATOR)
        self.assertEqual(len(self.log.history()), 1)

    def test_an_outage_after_a_lost_response_leaves_the_outcome_unknown(self):
        base = self.log.load()
        write = self.key_value.compare_and_swap

        def lose_response_and_go_down(key, value, version, lease=None):
            write(key, value, version, lease)
            self.key_value.set_down(True)
            raise OutcomeUnknownError(key)

        self.key_value.compare_and_swap = lose_response_and_go_down
        with self.assertRaises(UnknownOutcomeError) as caught:
            self.log.append(base, [customer(1)], OPERATOR)
        self.key_value.set_down(False)
        self.assertEqual(self.log.history(), (caught.exception.revision,))

    def test_an_outage_before_the_write_is_reported_as_unavailable(self):
        base = self.log.load()
        self.key_value.set_down(True)
        with self.assertRaises(UnavailableError):
            self.log.append(base, [customer(1)], OPERATOR)

    def test_an_inapplicable_change_is_not_written(self):
        with self.assertRaises(ChangeError):
            key = issue_key("nobody").entry
            self.log.append(self.log.load(), [PutKey(key)], OPERATOR)
        self.assertEqual(self.log.history(), ())


class SnapshotTest(LogCase):
    def write_two_snapshots(self):
        for _ in range(2):
            self.assertTrue(self.log.write_snapshot(self.write(64)))

    def test_snapshot_and_log_together_give_the_configuration(self):
        self.write_two_snapshots()
        after = self.write(3)
        self.assertEqual(after.revision, 131)
        self.assertEqual(len(after.customers), 131)

    def test_old_entries_and_parts_are_deleted(self):
        self.write_two_snapshots()
        entries = self.key_value.list(LOG_PREFIX)
        self.assertEqual(entries[0].key, log_key(65))
        self.assertEqual(len(self.key_value.list(PARTS_PREFIX)), 1)

    def test_a_snapshot_is_never_replaced_by_an_older_one(self):
        old = self.write(64)
        self.assertTrue(self.log.write_snapshot(self.write(64)))
        self.assertFalse(self.log.write_snapshot(old))
        self.assertEqual(self.log.head().revision, 128)

    def test_only_one_of_two_snapshot_writers_wins_and_leaves_no_parts(self):
        configuration = self.write(64)
        write, rival_writes = self.key_value.compare_and_swap, []

        def interrupted(key, value, version, lease=None):
            if key == HEAD_KEY and not rival_writes:
                rival_writes.append(True)
                self.assertTrue(self.log.write_snapshot(configuration))
            return write(key, value, version, lease)

        self.key_value.compare_and_swap = interrupted
        self.assertFalse(self.log.write_snapshot(configuration))
        self.assertEqual(len(self.key_value.list(PARTS_PREFIX)), 1)
        self.assertEqual(self.log.load(), configuration)

    def test_parts_of_a_failed_writer_are_deleted(self):
        configuration = self.write(64)
        write = self.key_value.compare_and_swap

        def fail_at_head(key, value, version, lease=None):
            if key == HEAD_KEY:
                raise UnavailableError("the service is down")
            return write(key, value, version, lease)

        self.key_value.compare_and_swap = fail_at_head
        with self.assertRaises(UnavailableError):
            self.log.write_snapshot(configuration)
        self.key_value.compare_and_swap = write
        self.log.write_snapshot(self.write(1))
        self.assertEqual(len(self.key_value.list(PARTS_PREFIX)), 1)

    def test_a_large_configuration_is_split(self):
        for start in range(0, 8000, 2000):
            self.write_with_keys(range(start, start + 2000))
        configuration = self.log.load()
        self.log.write_snapshot(configuration)
        entries = self.key_value.list(PARTS_PREFIX)
        self.assertLessEqual(max(len(entry.value) for entry in entries), 2**19)
        self.assertEqual(len(entries), 2)
        self.assertEqual(self.log.load_snapshot(), configuration)

    def write_with_keys(self, numbers):
        changes = []
        for number in numbers:
            name = f"customer-{number}"
            changes += [customer(number), PutKey(issue_key(name).entry)]
        self.log.append(self.log.load(), changes, OPERATOR)


class LargeEntryTest(LogCase):
    def test_a_sheet_of_4000_customers_is_one_revision(self):
        changes = [customer(number) for number in range(4000)]
        self.log.append(self.log.load(), changes, OPERATOR)
        self.assertLess(len(self.key_value.get(log_key(1)).value), 2**19)
        self.assertEqual(len(self.log.load().customers), 4000)

    def test_a_too_large_revision_is_refused_before_the_write(self):
        changes = []
        for number in range(12000):
            changes += [customer(number), PutKey(issue_key(f"customer-{number}").entry)]
        with self.assertRaises(ConfigurationLogError):
            self.log.append(self.log.load(), changes, OPERATOR)
        self.assertEqual(self.log.history(), ())


class StaleAuthorTest(LogCase):
    """Tests of an author that read the log before it was trimmed, and writes then."""

    def setUp(self):
        super().setUp()
        base = self.write(10)
        for _ in range(2):
            self.log.write_snapshot(self.write(64))
        self.before = self.log.load()
        self.key_value.compare_and_swap(log_key(11), None, 0)
        with self.assertRaises(UnknownOutcomeError):
            self.log.append(base, [customer("stale")], Author("stale operator"))

    def test_the_stale_entry_is_ignored(self):
        self.assertEqual(self.log.load(), self.before)

    def test_an_outdated_follower_does_not_apply_the_stale_entry(self):
        with self.assertRaises(EntryError):
            self.log.watch(11, 0.0)

    def test_the_next_snapshot_deletes_the_stale_entry(self):
        self.log.write_snapshot(self.write(64))
        self.assertNotIn(log_key(11), [e.key for e in self.key_value.list(LOG_PREFIX)])


class UndecodableEntryTest(LogCase):
    def test_an_entry_of_a_newer_release_is_an_error(self):
        value = encode_revision(
            self.log.append(self.log.load(), [customer(1)], OPERATOR)
        ).replace(b"put_customer", b"put_other")
        self.key_value.compare_and_swap(log_key(2), value, 0)
        with self.assertRaises(EntryError):
            self.log.watch(2, 0.0)
        with self.assertRaises(EntryError):
            self.log.load()


if __name__ == "__main__":
    unittest.main()
