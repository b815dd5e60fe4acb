"""Tests of claims: at most one run despite lost and late calls and crashes."""

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
        seeds_to_run = seeds(SCHEDULES)
        for seed in seeds_to_run:
            with self.subTest(seed=seed):
                schedule = Schedule(seed)
                schedule.run()
                schedule.run_to_completion()
                self.assertLessEqual(max(schedule.started.values()), 1)
                sealed += len(schedule.segments)
        self.assertGreater(sealed, len(seeds_to_run) // 2)

    def test_a_key_that_never_ran_can_be_claimed_eventually(self):
        seeds_to_run = seeds(SCHEDULES)
        checked = sum(self.check_unrun_keys(seed) for seed in seeds_to_run)
        self.assertGreater(checked, len(seeds_to_run) // 15)

    def test_a_claim_is_not_left_behind_by_a_rare_order_of_events(self):
        self.check_unrun_keys(5925)

    def check_unrun_keys(self, seed):
        """Check the keys that never ran; return how many there were."""
        # A claim of an instance that crashed must remain, so its key is skipped.
        schedule = Schedule(seed)
        schedule.run()
        schedule.run_to_completion()
        while schedule.late_calls:
            schedule.perform_late(None, None)
        schedule.run_to_completion()
        free = {key for key in KEYS if not schedule.started[key]}
        unrun = sorted(free - schedule.keys_with_lost_claims)
        for key in unrun:
            with self.subTest(seed=seed, key=key):
                instance = schedule.instances["entry-1"]
                grants = schedule.grants
                schedule.submit("entry-1", instance, key)
                schedule.run_to_completion()
                self.assertEqual(schedule.grants, grants + 1)
                self.assertIsNone(schedule.state.records.get(key))
                claims = instance.claims
                self.assertFalse(claims.pending or claims.changes or claims.active)
        return len(unrun)


class ClaimCostTest(unittest.TestCase):
    def test_forwarded_claims_share_their_writes(self):
        result = Simulation("forwarded", 100, seed=1).run()
        self.assertLessEqual(result.writes_per_claim, 1.1)
        self.assertLessEqual(result.conflicts_per_claim, 0.05)
        self.assertEqual(result.refused, 0)


class ShardClaimsTest(unittest.TestCase):
    def claims(self):
        claims = ShardClaims("00", "entry-1", 2)
        claims.on_shard_read(ShardState(), 0, 0.0)
        return claims

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

    def repeated_arrival(self, existing, **changes):
        claims = self.claims()
        own = {"nonce": "n2", "instance": "entry-1", "incarnation": 2}
        claims.submit(self.record(**(own | changes)), 0.0)
        claims.mark_gone("entry-3", 4)
        (resolved,) = claims.on_shard_read(
            ShardState({KEYS[0]: existing}), 1, changes.get("written_at", 0.0)
        )
        return resolved.answer

    def test_repeated_arrival_of_a_running_request(self):
        answer = self.repeated_arrival(self.record())
        self.assertIs(answer.reason, RefusalReason.IN_PROGRESS)
        self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)

    def test_claims_of_dead_incarnations_are_unknown_and_never_taken_over(self):
        dead = [
            {"instance": "entry-1", "incarnation": 1},
            {"instance": "entry-3", "incarnation": 4},
        ]
        for values in dead:
            answer = self.repeated_arrival(self.record(**values))
            self.assertIs(answer.reason, RefusalReason.OUTCOME_UNKNOWN)
            self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)
        answer = self.repeated_arrival(self.record(), written_at=700.0)
        self.assertIs(answer.reason, RefusalReason.OUTCOME_UNKNOWN)

    def test_another_request_under_the_same_key_is_refused(self):
        answer = self.repeated_arrival(self.record(), fingerprint="other")
        self.assertIs(answer.reason, RefusalReason.KEY_REUSED)
        self.assertIs(answer.verdict, Verdict.NOT_RUN)

    def test_a_full_shard_refuses_claims_and_keeps_its_records(self):
        claims = self.claims()
        size = self.record().size
        records = {
            f"k{n}": self.record(key=f"k{n}", nonce=f"m{n}")
            for n in range(800_000 // size + 1)
        }
        claims.submit(self.record(nonce="n2", instance="entry-1"), 100.0)
        (resolved,) = claims.on_shard_read(ShardState(records), 1, 100.0)
        self.assertIs(resolved.answer.reason, RefusalReason.CLAIMS_UNAVAILABLE)
        self.assertAlmostEqual(resolved.answer.retry_after_s, 860.0)

    def test_the_first_byte_may_not_be_sent_late(self):
        claims = self.claims()
        claims.submit(self.record(instance="entry-1"), 5.0)
        claims.next_step(0.0)
        (resolved,) = claims.on_shard_written(1)
        self.assertTrue(resolved.answer.may_start(65.0))
        self.assertFalse(resolved.answer.may_start(65.1))

    def test_only_its_own_instance_releases_a_claim(self):
        # Another instance may have been granted the claim under the same nonce.
        claims = self.claims()
        claims.submit(self.record(instance="entry-2"), 0.0)
        claims.next_step(0.0)
        claims.on_unknown_outcome()
        claims.refuse_all(1.0)
        self.assertFalse(claims.changes)

    def test_a_release_never_removes_an_outcome(self):
        claims = self.claims()
        ended = self.record(
            instance="entry-1", state=ClaimState.ENDED, verdict=Verdict.RAN
        )
        claims.on_shard_read(ShardState({KEYS[0]: ended}), 1, 0.0)
        claims.release(ended)
        self.assertIn(KEYS[0], claims.next_step(0.0).state.records)

    def test_a_release_is_followed_by_a_write(self):
        # Writing the shard makes any write that another instance has in progress fail.
        claims = self.claims()
        claims.release(self.record(instance="entry-1"))
        self.assertIsInstance(claims.next_step(0.0), WriteShard)
        claims.on_shard_written(1)
        self.assertIsNone(claims.next_step(0.0))

    def test_a_claim_granted_here_is_not_released_by_a_rejection(self):
        claims = self.claims()
        record = self.record(instance="entry-1")
        claims.submit(record, 0.0, forwarded=True)
        claims.next_step(0.0)
        claims.on_shard_written(1)
        claims.reject_ownership(record.nonce)
        self.assertFalse(claims.changes)


if __name__ == "__main__":
    unittest.main()
