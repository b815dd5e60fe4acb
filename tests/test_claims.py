"""Tests of claims: at most one run, whatever is lost, late or dies."""

import unittest

from bench.claims import Simulation
from cassiaford.policy import (
    ClaimRecord,
    ClaimState,
    ShardClaims,
    ShardState,
    WriteShard,
)
from cassiaford.verdict import RefusalReason, Verdict
from tests.claim_schedule import KEYS, Schedule
from tests.schedules import seeds

SCHEDULES = 300


class ClaimScheduleTest(unittest.TestCase):
    def test_a_key_never_runs_twice(self):
        sealed = 0
        run = seeds(SCHEDULES)
        for seed in run:
            with self.subTest(seed=seed):
                schedule = Schedule(seed)
                schedule.run()
                schedule.drain()
                self.assertLessEqual(max(schedule.started.values()), 1)
                sealed += len(schedule.segments)
        self.assertGreater(sealed, len(run) // 2)

    def test_a_key_that_never_ran_can_be_claimed_in_the_end(self):
        run = seeds(SCHEDULES)
        checked = sum(self.check_unrun_keys(seed) for seed in run)
        self.assertGreater(checked, len(run) // 15)

    def test_a_claim_is_not_left_behind_by_a_rare_order_of_events(self):
        self.check_unrun_keys(5925)

    def check_unrun_keys(self, seed):
        """Check the keys that never ran; return how many there were."""
        # An instance that died may leave a claim behind, which must stand.
        schedule = Schedule(seed)
        schedule.run()
        schedule.drain()
        while schedule.late_calls:
            schedule.perform_late(None, None)
        schedule.drain()
        free = {key for key in KEYS if not schedule.started[key]}
        unrun = sorted(free - schedule.died_with)
        for key in unrun:
            with self.subTest(seed=seed, key=key):
                instance = schedule.instances["entry-1"]
                grants = schedule.grants
                schedule.submit("entry-1", instance, key)
                schedule.drain()
                self.assertEqual(schedule.grants, grants + 1)
                self.assertIsNone(schedule.state.records.get(key))
                book = instance.book
                self.assertFalse(book.pending or book.changes or book.active)
        return len(unrun)


class ClaimCostTest(unittest.TestCase):
    def test_forwarded_claims_share_their_writes(self):
        result = Simulation("forwarded", 100, seed=1).run()
        self.assertLessEqual(result.writes_per_claim, 1.1)
        self.assertLessEqual(result.conflicts_per_claim, 0.05)
        self.assertEqual(result.refused, 0)


class ShardBookTest(unittest.TestCase):
    def book(self):
        book = ShardClaims("00", "entry-1", 2)
        book.on_shard_read(ShardState(), 0, 0.0)
        return book

    def record(self, **changes):
        values = {
            "key": KEYS[0],
            "fingerprint": "f",
            "nonce": "n1",
            "request_id": "r1",
            "instance": "entry-2",
            "incarnation": 1,
            "written_at": 0.0,
        }
        return ClaimRecord(**(values | changes))

    def second_arrival(self, standing, **changes):
        book = self.book()
        own = {"nonce": "n2", "instance": "entry-1", "incarnation": 2}
        book.submit(self.record(**(own | changes)), 0.0)
        book.mark_gone("entry-3", 4)
        (settled,) = book.on_shard_read(
            ShardState({KEYS[0]: standing}), 1, changes.get("written_at", 0.0)
        )
        return settled.answer

    def test_second_arrival_of_a_running_request(self):
        answer = self.second_arrival(self.record())
        self.assertIs(answer.reason, RefusalReason.IN_PROGRESS)
        self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)

    def test_claims_of_dead_incarnations_are_unknown_and_never_taken_over(self):
        dead = [
            {"instance": "entry-1", "incarnation": 1},
            {"instance": "entry-3", "incarnation": 4},
        ]
        for values in dead:
            answer = self.second_arrival(self.record(**values))
            self.assertIs(answer.reason, RefusalReason.OUTCOME_UNKNOWN)
            self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)
        answer = self.second_arrival(self.record(), written_at=700.0)
        self.assertIs(answer.reason, RefusalReason.OUTCOME_UNKNOWN)

    def test_another_request_under_the_same_key_is_refused(self):
        answer = self.second_arrival(self.record(), fingerprint="other")
        self.assertIs(answer.reason, RefusalReason.KEY_REUSED)
        self.assertIs(answer.verdict, Verdict.NOT_RUN)

    def test_a_full_shard_refuses_rather_than_forgets(self):
        book = self.book()
        size = self.record().size
        records = {
            f"k{n}": self.record(key=f"k{n}", nonce=f"m{n}")
            for n in range(800_000 // size + 1)
        }
        book.submit(self.record(nonce="n2", instance="entry-1"), 100.0)
        (settled,) = book.on_shard_read(ShardState(records), 1, 100.0)
        self.assertIs(settled.answer.reason, RefusalReason.CLAIMS_UNAVAILABLE)
        self.assertAlmostEqual(settled.answer.retry_after_s, 860.0)

    def test_the_first_byte_may_not_leave_late(self):
        book = self.book()
        book.submit(self.record(instance="entry-1"), 5.0)
        book.next_step(0.0)
        (settled,) = book.on_shard_written(1)
        self.assertTrue(settled.answer.may_start(65.0))
        self.assertFalse(settled.answer.may_start(65.1))

    def test_only_its_own_instance_releases_a_claim(self):
        # The other may have been granted it by the same nonce meanwhile.
        book = self.book()
        book.submit(self.record(instance="entry-2"), 0.0)
        book.next_step(0.0)
        book.on_unknown_outcome()
        book.refuse_all(1.0)
        self.assertFalse(book.changes)

    def test_a_release_never_removes_an_outcome(self):
        book = self.book()
        ended = self.record(
            instance="entry-1", state=ClaimState.ENDED, verdict=Verdict.RAN
        )
        book.on_shard_read(ShardState({KEYS[0]: ended}), 1, 0.0)
        book.release(ended)
        self.assertIn(KEYS[0], book.next_step(0.0).state.records)

    def test_a_release_is_followed_by_a_write(self):
        # It makes a write void that another instance may have under way.
        book = self.book()
        book.release(self.record(instance="entry-1"))
        self.assertIsInstance(book.next_step(0.0), WriteShard)
        book.on_shard_written(1)
        self.assertIsNone(book.next_step(0.0))

    def test_a_claim_granted_here_is_not_disowned(self):
        book = self.book()
        record = self.record(instance="entry-1")
        book.submit(record, 0.0, forwarded=True)
        book.next_step(0.0)
        book.on_shard_written(1)
        book.reject_ownership(record.nonce)
        self.assertFalse(book.changes)


if __name__ == "__main__":
    unittest.main()
