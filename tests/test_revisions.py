"""Tests of configuration propagation, on virtual time with seeded faults."""

import random
import unittest

from cassiaford.config import (
    EMPTY_CONFIGURATION,
    Customer,
    PutCustomer,
    RemoveCustomer,
    Revision,
    apply_changes,
)
from cassiaford.policy import RevisionPolicy

SEEDS = range(30)
STALE_AFTER_S = 4.0


def entry(number, *changes):
    changes = changes or (PutCustomer(Customer(f"customer-{number}", 1, 1)),)
    return Revision(number, "operator", f"nonce-{number}", 0.0, tuple(changes))


def configuration(number):
    result = EMPTY_CONFIGURATION
    for n in range(1, number + 1):
        result = apply_changes(result, entry(n))
    return result


def create_policy(seed=1):
    return RevisionPolicy(STALE_AFTER_S, random.Random(seed))


class Fleet:
    """Instances that receive revisions from a service, from peers, or from both.

    Each message may be lost, duplicated and delayed, so that messages overtake
    each other.
    """

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.log = []
        self.policies = [create_policy(seed + n) for n in range(count)]
        for policy in self.policies:
            policy.record_service_load(0.0)
        self.cut_from_service = set()
        self.in_flight = []
        self.revisions_in_force = [[0] for _ in range(count)]

    def write(self):
        self.log.append(entry(len(self.log) + 1))

    def step(self):
        """Advance the time by a tenth of a second."""
        self.now += 0.1
        for number, policy in enumerate(self.policies):
            if number not in self.cut_from_service:
                self.poll_service(policy)
            self.poll_peer(number, policy)
            self.fetch(policy)
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        self.rng.shuffle(due)
        for _, number, deliver in due:
            deliver()
            self.revisions_in_force[number].append(
                self.policies[number].current.revision
            )

    def deliver_later(self, policy, deliver):
        copies = self.rng.choice([0, 1, 1, 1, 2])
        for _ in range(copies):
            at = self.now + self.rng.uniform(0.0, 1.0)
            self.in_flight.append((at, self.policies.index(policy), deliver))

    def poll_service(self, policy):
        missing = self.log[policy.current.revision :]
        if missing:
            self.deliver_later(policy, lambda: policy.apply_revision(missing[0]))
        else:
            policy.record_service_contact(self.now)

    def poll_peer(self, number, policy):
        peer = self.rng.randrange(len(self.policies))
        revision, as_of = self.policies[peer].current.revision, self.now
        if peer != number:
            self.deliver_later(
                policy,
                lambda: policy.update_from_peer(str(peer), revision, as_of, self.now),
            )

    def fetch(self, policy):
        peer = policy.choose_fetch_peer(self.now)
        if peer is None:
            return
        source = self.policies[int(peer)]
        entries = source.entries_after(policy.current.revision)
        snapshot, as_of = source.current, self.now

        def deliver():
            for revision in entries or ():
                policy.apply_revision(revision)
            if entries is None:
                policy.apply_snapshot(snapshot)
            policy.record_peer_load(as_of)

        self.deliver_later(policy, deliver)


class PropagationTest(unittest.TestCase):
    def test_a_change_is_in_force_everywhere_within_5_s_and_never_reverts(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = Fleet(seed, 7)
                fleet.cut_from_service = {0, 1, 2}
                for _ in range(10):
                    fleet.write()
                    for _ in range(50):
                        fleet.step()
                    number = len(fleet.log)
                    revisions = {p.current.revision for p in fleet.policies}
                    self.assertEqual(revisions, {number})
                for revisions_in_force in fleet.revisions_in_force:
                    self.assertEqual(revisions_in_force, sorted(revisions_in_force))

    def test_every_instance_ends_with_the_same_configuration(self):
        for seed in SEEDS:
            fleet = Fleet(seed, 5)
            fleet.cut_from_service = {0, 1}
            for _ in range(100):
                fleet.write()
            for _ in range(600):
                fleet.step()
            with self.subTest(seed=seed):
                for policy in fleet.policies:
                    self.assertEqual(policy.current, configuration(100))

    def test_an_instance_far_behind_gets_a_snapshot(self):
        ahead = create_policy()
        for number in range(1, 101):
            ahead.apply_revision(entry(number))
        self.assertIsNone(ahead.entries_after(10))
        self.assertEqual(len(ahead.entries_after(90)), 10)
        self.assertEqual(ahead.entries_after(100), ())


class NeverRevertsTest(unittest.TestCase):
    def test_older_and_later_entries_are_ignored(self):
        policy = create_policy()
        for number in (1, 2, 2, 1, 4):
            policy.apply_revision(entry(number))
        self.assertEqual(policy.current, configuration(2))

    def test_an_older_snapshot_is_ignored(self):
        policy = create_policy()
        policy.apply_snapshot(configuration(5))
        self.assertIsNone(policy.apply_snapshot(configuration(4)))
        self.assertEqual(policy.current.revision, 5)

    def test_a_revision_that_cannot_be_applied_counts_without_effect(self):
        policy = create_policy()
        change = policy.apply_revision(entry(1, RemoveCustomer("nobody")))
        self.assertIn("nobody", change.rejected)
        self.assertEqual(policy.current.revision, 1)
        self.assertIsNotNone(policy.apply_revision(entry(2)))


class FreshnessTest(unittest.TestCase):
    def test_no_contact_with_service_or_peers_makes_it_stale(self):
        policy = create_policy()
        self.assertFalse(policy.is_fresh(0.0))
        policy.record_service_load(0.0)
        self.assertTrue(policy.is_fresh(4.0))
        self.assertFalse(policy.is_fresh(4.1))

    def test_contact_with_a_peer_keeps_it_fresh_in_an_outage(self):
        policy = create_policy()
        policy.record_service_load(0.0)
        policy.record_service_failure()
        policy.update_from_peer("entry-2", 0, 100.0, 100.1)
        self.assertTrue(policy.is_fresh(103.0))

    def test_a_peer_that_is_behind_does_not_keep_it_fresh(self):
        policy = create_policy()
        policy.apply_revision(entry(1))
        policy.record_service_load(0.0)
        policy.update_from_peer("entry-2", 0, 100.0, 100.1)
        self.assertFalse(policy.is_fresh(103.0))
        policy.update_from_peer("entry-2", 1, 101.0, 101.1)
        self.assertTrue(policy.is_fresh(103.0))

    def test_an_unsolicited_message_does_not_keep_it_fresh(self):
        policy = create_policy()
        policy.record_service_load(0.0)
        policy.update_from_peer("entry-2", 0, None, 100.0)
        self.assertFalse(policy.is_fresh(100.0))

    def test_a_known_revision_that_is_missing_makes_it_stale(self):
        policy = create_policy()
        policy.record_service_load(0.0)
        policy.update_from_peer("entry-2", 1, 1.0, 1.0)
        policy.update_from_peer("entry-3", 0, 5.0, 5.0)
        self.assertTrue(policy.is_fresh(5.0))
        self.assertFalse(policy.is_fresh(5.1))
        policy.apply_revision(entry(1))
        self.assertTrue(policy.is_fresh(5.1))


class ReadyTest(unittest.TestCase):
    def test_serving_does_not_start_below_the_revision_of_peers(self):
        policy = create_policy()
        policy.update_from_peer("entry-2", 3, 1.0, 1.0)
        policy.record_service_load(1.0)
        self.assertFalse(policy.is_ready(peer_count=6))
        policy.apply_snapshot(configuration(3))
        self.assertTrue(policy.is_ready(peer_count=6))

    def test_without_the_service_several_peers_must_report_first(self):
        policy = create_policy()
        policy.update_from_peer("entry-2", 1, 1.0, 1.0)
        policy.apply_snapshot(configuration(1))
        policy.record_peer_load(1.0)
        self.assertFalse(policy.is_ready(peer_count=6))
        policy.update_from_peer("entry-3", 1, 1.0, 1.0)
        policy.update_from_peer("entry-4", 2, 1.0, 1.0)
        self.assertFalse(policy.is_ready(peer_count=6))
        policy.apply_revision(entry(2))
        self.assertTrue(policy.is_ready(peer_count=6))

    def test_peers_without_a_configuration_do_not_make_it_ready(self):
        policy = create_policy()
        for peer in ("entry-2", "entry-3", "entry-4"):
            policy.update_from_peer(peer, 0, 1.0, 1.0)
        self.assertFalse(policy.is_ready(peer_count=3))

    def test_it_fetches_from_a_peer_with_the_highest_revision(self):
        policy = create_policy()
        policy.record_service_load(0.0)
        policy.update_from_peer("entry-2", 1, None, 1.0)
        policy.update_from_peer("entry-3", 2, None, 1.0)
        self.assertIsNone(policy.choose_fetch_peer(1.1))
        self.assertEqual(policy.choose_fetch_peer(1.4), "entry-3")
        self.assertIsNone(policy.choose_fetch_peer(1.5))
        policy.remove_peer("entry-3")
        self.assertEqual(policy.choose_fetch_peer(2.0), "entry-2")


if __name__ == "__main__":
    unittest.main()
