"""Tests of the spread of configuration, on virtual time with seeded faults."""

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


def policy(seed=1):
    return RevisionPolicy(STALE_AFTER_S, random.Random(seed))


class Fleet:
    """Instances that learn from a service, from peers, or from both.

    Each word may be lost, doubled and late, so that words cross.
    """

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.log = []
        self.policies = [policy(seed + n) for n in range(count)]
        for one in self.policies:
            one.record_service_load(0.0)
        self.cut_from_service = set()
        self.in_flight = []
        self.seen = [[0] for _ in range(count)]

    def write(self):
        self.log.append(entry(len(self.log) + 1))

    def step(self):
        """Let a tenth of a second pass."""
        self.now += 0.1
        for number, one in enumerate(self.policies):
            if number not in self.cut_from_service:
                self.hear_service(one)
            self.hear_peer(number, one)
            self.fetch(one)
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        self.rng.shuffle(due)
        for _, number, deliver in due:
            deliver()
            self.seen[number].append(self.policies[number].current.revision)

    def later(self, one, deliver):
        copies = self.rng.choice([0, 1, 1, 1, 2])
        for _ in range(copies):
            at = self.now + self.rng.uniform(0.0, 1.0)
            self.in_flight.append((at, self.policies.index(one), deliver))

    def hear_service(self, one):
        missing = self.log[one.current.revision :]
        if missing:
            self.later(one, lambda: one.apply_revision(missing[0]))
        else:
            one.record_service_contact(self.now)

    def hear_peer(self, number, one):
        peer = self.rng.randrange(len(self.policies))
        revision, as_of = self.policies[peer].current.revision, self.now
        if peer != number:
            self.later(
                one, lambda: one.update_from_peer(str(peer), revision, as_of, self.now)
            )

    def fetch(self, one):
        peer = one.choose_fetch_peer(self.now)
        if peer is None:
            return
        source = self.policies[int(peer)]
        entries = source.entries_after(one.current.revision)
        snapshot, as_of = source.current, self.now

        def deliver():
            for revision in entries or ():
                one.apply_revision(revision)
            if entries is None:
                one.apply_snapshot(snapshot)
            one.record_peer_load(as_of)

        self.later(one, deliver)


class SpreadTest(unittest.TestCase):
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
                for seen in fleet.seen:
                    self.assertEqual(seen, sorted(seen))

    def test_every_instance_ends_with_the_same_configuration(self):
        for seed in SEEDS:
            fleet = Fleet(seed, 5)
            fleet.cut_from_service = {0, 1}
            for _ in range(100):
                fleet.write()
            for _ in range(600):
                fleet.step()
            with self.subTest(seed=seed):
                for one in fleet.policies:
                    self.assertEqual(one.current, configuration(100))

    def test_an_instance_far_behind_gets_a_snapshot(self):
        ahead = policy()
        for number in range(1, 101):
            ahead.apply_revision(entry(number))
        self.assertIsNone(ahead.entries_after(10))
        self.assertEqual(len(ahead.entries_after(90)), 10)
        self.assertEqual(ahead.entries_after(100), ())


class NeverRevertsTest(unittest.TestCase):
    def test_older_and_later_entries_are_left_alone(self):
        one = policy()
        for number in (1, 2, 2, 1, 4):
            one.apply_revision(entry(number))
        self.assertEqual(one.current, configuration(2))

    def test_an_older_snapshot_is_left_alone(self):
        one = policy()
        one.apply_snapshot(configuration(5))
        self.assertIsNone(one.apply_snapshot(configuration(4)))
        self.assertEqual(one.current.revision, 5)

    def test_a_revision_that_does_not_fit_counts_without_effect(self):
        one = policy()
        change = one.apply_revision(entry(1, RemoveCustomer("nobody")))
        self.assertIn("nobody", change.rejected)
        self.assertEqual(one.current.revision, 1)
        self.assertIsNotNone(one.apply_revision(entry(2)))


class FreshnessTest(unittest.TestCase):
    def test_silence_of_service_and_peers_makes_it_stale(self):
        one = policy()
        self.assertFalse(one.is_fresh(0.0))
        one.record_service_load(0.0)
        self.assertTrue(one.is_fresh(4.0))
        self.assertFalse(one.is_fresh(4.1))

    def test_a_peers_word_keeps_it_fresh_in_an_outage(self):
        one = policy()
        one.record_service_load(0.0)
        one.record_service_failure()
        one.update_from_peer("entry-2", 0, 100.0, 100.1)
        self.assertTrue(one.is_fresh(103.0))

    def test_a_peer_that_is_behind_does_not_keep_it_fresh(self):
        one = policy()
        one.apply_revision(entry(1))
        one.record_service_load(0.0)
        one.update_from_peer("entry-2", 0, 100.0, 100.1)
        self.assertFalse(one.is_fresh(103.0))
        one.update_from_peer("entry-2", 1, 101.0, 101.1)
        self.assertTrue(one.is_fresh(103.0))

    def test_an_unasked_word_proves_nothing_about_the_present(self):
        one = policy()
        one.record_service_load(0.0)
        one.update_from_peer("entry-2", 0, None, 100.0)
        self.assertFalse(one.is_fresh(100.0))

    def test_knowing_of_a_revision_without_having_it_makes_it_stale(self):
        one = policy()
        one.record_service_load(0.0)
        one.update_from_peer("entry-2", 1, 1.0, 1.0)
        one.update_from_peer("entry-3", 0, 5.0, 5.0)
        self.assertTrue(one.is_fresh(5.0))
        self.assertFalse(one.is_fresh(5.1))
        one.apply_revision(entry(1))
        self.assertTrue(one.is_fresh(5.1))


class ReadyTest(unittest.TestCase):
    def test_serving_does_not_start_below_what_peers_know(self):
        one = policy()
        one.update_from_peer("entry-2", 3, 1.0, 1.0)
        one.record_service_load(1.0)
        self.assertFalse(one.is_ready(peer_count=6))
        one.apply_snapshot(configuration(3))
        self.assertTrue(one.is_ready(peer_count=6))

    def test_without_the_service_several_peers_are_heard_first(self):
        one = policy()
        one.update_from_peer("entry-2", 1, 1.0, 1.0)
        one.apply_snapshot(configuration(1))
        one.record_peer_load(1.0)
        self.assertFalse(one.is_ready(peer_count=6))
        one.update_from_peer("entry-3", 1, 1.0, 1.0)
        one.update_from_peer("entry-4", 2, 1.0, 1.0)
        self.assertFalse(one.is_ready(peer_count=6))
        one.apply_revision(entry(2))
        self.assertTrue(one.is_ready(peer_count=6))

    def test_peers_that_know_nothing_do_not_make_it_ready(self):
        one = policy()
        for peer in ("entry-2", "entry-3", "entry-4"):
            one.update_from_peer(peer, 0, 1.0, 1.0)
        self.assertFalse(one.is_ready(peer_count=3))

    def test_it_fetches_from_a_peer_that_knows_most(self):
        one = policy()
        one.record_service_load(0.0)
        one.update_from_peer("entry-2", 1, None, 1.0)
        one.update_from_peer("entry-3", 2, None, 1.0)
        self.assertIsNone(one.choose_fetch_peer(1.1))
        self.assertEqual(one.choose_fetch_peer(1.4), "entry-3")
        self.assertIsNone(one.choose_fetch_peer(1.5))
        one.remove_peer("entry-3")
        self.assertEqual(one.choose_fetch_peer(2.0), "entry-2")


if __name__ == "__main__":
    unittest.main()
