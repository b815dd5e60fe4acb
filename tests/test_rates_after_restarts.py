"""Tests that instances restarted in a cut do not spend a customer's tokens twice."""

import random
import unittest

from cassiaford.gateway._registration import LEASE_S, RENEWAL_INTERVAL_S
from cassiaford.gateway.policy import FleetRates, Limit, PeerState, PeerTable

WINDOW_S = 8.0
OVERSHOOT = 0.1
REPORT_INTERVAL_S = 0.1
WHOLE_INTERVAL_S = 1.0
STEP_S = 0.02
# How many times its rate the customer asks for.
OVERLOAD = 6.0
SEEDS = 30


class Instance:
    """An instance's rates and what it knows of its peers."""

    def __init__(self, fleet, name, incarnation, now):
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.started_at = now
        self.table = PeerTable()
        self.rates = FleetRates(WINDOW_S)
        self.was_whole = set()
        self.asked = 0.0

    def read_store(self, now):
        """Take over the configuration and the entries that the store has."""
        if not self.rates.configured:
            self.rates.configure({"academy": self.fleet.limit}, now)
        entries = self.fleet.entries
        for name, (incarnation, _) in entries.items():
            if name != self.name:
                self.table.register(self._state(name, incarnation), now)
        for name in set(self.table.peers) - set(entries):
            self.table.unregister(name)
        self.table.expire(now)
        self.rates.set_members(self.table.expected(), now)

    def hear(self, sender, whole, now):
        """Apply a peer's report; one that is not whole counts after a whole one."""
        known = (sender.name, sender.incarnation)
        if whole:
            self.was_whole.add(known)
        if known in self.was_whole:
            state = self._state(sender.name, sender.incarnation)
            self.table.update_from_peer(state, now)
            self.rates.update_from_peer(
                sender.name, sender.incarnation, sender.rates.spent(), now, whole
            )

    @staticmethod
    def _state(name, incarnation):
        return PeerState(name, incarnation, "a", "", "")


class Fleet:
    """Instances in cuts and restarts, asked for far more than the rate.

    Instances in `cut` hear nobody, and those in `without_store` do not reach the
    store; one that has not reached it since its start serves nobody. Those in
    `down` do not run. `spent` are the times and tokens of all requests that were
    allowed.
    """

    def __init__(self, limit, tokens, size=6):
        self.limit = limit
        self.tokens = tokens
        self.names = [f"entry-{n}" for n in range(size)]
        self.entries = {}
        self.cut = frozenset()
        self.without_store = frozenset()
        self.down = frozenset()
        self.spent = []
        self.now = 0.0
        self.started = 0
        self.instances = {}
        for name in self.names:
            self._start(name)

    def _start(self, name):
        self.started += 1
        self.instances[name] = Instance(self, name, self.started, self.now)

    def set_down(self, names):
        """Kill these instances, and start all that were down and are not named."""
        for name in self.down - set(names):
            self._start(name)
        self.down = frozenset(names)

    def set_cut(self, names, *, from_store=True):
        """Cut these instances off, and no others any more."""
        self.cut = frozenset(names)
        self.without_store = self.cut if from_store else frozenset()

    def run(self, until):
        """Play until a time."""
        while self.now < until:
            self.now = round(self.now + STEP_S, 6)
            self._step(round(self.now / STEP_S))

    def max_excess(self):
        """Return by how much a window at most exceeds what the limit allows."""
        allowed = (self.limit.rate * WINDOW_S + self.limit.burst) * (1 + OVERSHOOT)
        within = start = maximum = 0
        for end, (at, tokens) in enumerate(self.spent):
            within += tokens
            while self.spent[start][0] <= at - WINDOW_S:
                within -= self.spent[start][1]
                start += 1
            maximum = max(maximum, within)
            assert start <= end
        return maximum - allowed

    def total(self):
        """Return all tokens that were allowed."""
        return sum(tokens for _, tokens in self.spent)

    def _step(self, step):
        running = [self.instances[n] for n in self.names if n not in self.down]
        if self._every(step, RENEWAL_INTERVAL_S):
            for instance in running:
                if instance.name not in self.without_store:
                    until = self.now + LEASE_S
                    self.entries[instance.name] = instance.incarnation, until
        self.entries = {n: e for n, e in self.entries.items() if e[1] > self.now}
        for instance in running:
            if instance.name not in self.without_store and self._every(step, 0.2):
                instance.read_store(self.now)
            elif self._every(step, 0.2):
                instance.table.expire(self.now)
                instance.rates.set_members(instance.table.expected(), self.now)
        for instance in running:
            if not instance.rates.configured:
                continue
            instance.asked += OVERLOAD * self.limit.rate * STEP_S / len(self.names)
            while instance.asked >= self.tokens:
                instance.asked -= self.tokens
                if instance.rates.charge("academy", self.tokens, self.now):
                    self.spent.append((self.now, self.tokens))
        if self._every(step, REPORT_INTERVAL_S):
            self._report(running, step)

    def _report(self, running, step):
        for number, sender in enumerate(running):
            turn = step + 10 * number
            whole = self._every(turn, WHOLE_INTERVAL_S)
            for receiver in running:
                apart = {sender.name, receiver.name} & self.cut
                if sender is not receiver and not apart:
                    receiver.hear(sender, whole, self.now)

    @staticmethod
    def _every(step, seconds):
        return step % round(seconds / STEP_S) == 0


class RestartInCutTest(unittest.TestCase):
    LIMIT = Limit(200_000.0, 200_000.0)
    LARGE_BURST = Limit(200_000.0, 1_000_000.0)
    TOKENS = 12_000
    # In a cut, the debts of all sides together are that of one large request.
    SLACK_TOKENS = 140_000

    def fleet(self):
        fleet = Fleet(self.LIMIT, self.TOKENS)
        fleet.run(16.0)
        return fleet

    def assert_limit_kept(self, fleet):
        self.assertLessEqual(fleet.max_excess(), self.SLACK_TOKENS)

    def test_a_restart_in_a_cut(self):
        fleet = self.fleet()
        fleet.set_cut(fleet.names[:2])
        fleet.run(17.5)
        fleet.set_down(fleet.names[2:])
        fleet.run(18.0)
        fleet.set_down(())
        fleet.run(24.0)
        fleet.set_cut(())
        fleet.run(40.0)
        self.assert_limit_kept(fleet)

    def test_a_restart_of_the_instances_that_are_cut_off(self):
        fleet = self.fleet()
        fleet.set_cut(fleet.names[:2])
        fleet.run(20.0)
        fleet.set_down(fleet.names[:2])
        fleet.run(20.5)
        fleet.set_down(())
        fleet.run(24.0)
        fleet.set_cut(())
        fleet.run(40.0)
        self.assert_limit_kept(fleet)

    def test_a_restart_of_instances_that_are_cut_off_from_their_peers_alone(self):
        fleet = self.fleet()
        fleet.set_cut(fleet.names[:2], from_store=False)
        fleet.run(20.0)
        fleet.set_down(fleet.names[:2])
        fleet.run(20.5)
        fleet.set_down(())
        fleet.run(24.0)
        fleet.set_cut(())
        fleet.run(40.0)
        self.assert_limit_kept(fleet)

    def test_a_restart_late_in_a_cut(self):
        fleet = self.fleet()
        fleet.set_cut(fleet.names[:2])
        fleet.run(23.5)
        fleet.set_down(fleet.names[2:])
        fleet.run(24.0)
        fleet.set_down(())
        fleet.run(28.0)
        fleet.set_cut(())
        fleet.run(44.0)
        self.assert_limit_kept(fleet)

    def test_restarts_one_after_the_other_in_a_cut(self):
        fleet = self.fleet()
        fleet.set_cut(fleet.names[:2])
        for number, name in enumerate(fleet.names[2:]):
            fleet.run(17.0 + number)
            fleet.set_down((name,))
            fleet.run(17.5 + number)
            fleet.set_down(())
        fleet.run(24.0)
        fleet.set_cut(())
        fleet.run(40.0)
        self.assert_limit_kept(fleet)

    def test_a_restart_without_a_cut_grants_the_rate(self):
        fleet = self.fleet()
        before = fleet.total()
        for number, name in enumerate(fleet.names):
            fleet.run(17.0 + 2 * number)
            fleet.set_down((name,))
            fleet.run(18.0 + 2 * number)
            fleet.set_down(())
        fleet.run(40.0)
        self.assert_limit_kept(fleet)
        granted_at_rate = self.LIMIT.rate * 24.0
        self.assertGreaterEqual(fleet.total() - before, 0.95 * granted_at_rate)

    def test_random_cuts_and_restarts(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                fleet = self.play(random.Random(seed), self.LARGE_BURST)
                self.assert_limit_kept(fleet)

    def test_random_cuts_and_restarts_with_a_small_burst(self):
        # Each restart of all grants a tenth of what may be spent at once.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assert_limit_kept(self.play(random.Random(seed), self.LIMIT))

    def play(self, rng, limit):
        fleet = Fleet(limit, self.TOKENS)
        fleet.run(10.0)
        for _ in range(3):
            cut = rng.sample(fleet.names, rng.randrange(1, 4))
            fleet.set_cut(cut, from_store=rng.random() < 0.5)
            cut_until = fleet.now + rng.uniform(1.0, 12.0)
            while fleet.now < cut_until:
                fleet.run(fleet.now + rng.uniform(0.2, 5.0))
                fleet.set_down(rng.sample(fleet.names, rng.randrange(1, 7)))
                fleet.run(fleet.now + rng.uniform(0.3, 2.0))
                fleet.set_down(())
            fleet.set_cut(())
            fleet.run(fleet.now + rng.uniform(0.5, 8.0))
        return fleet


class UnheardPeerTest(unittest.TestCase):
    """What a restarted instance leaves to a peer that it has never heard."""

    def test_a_peer_whose_entry_lapses_in_a_cut_may_still_run(self):
        # The retry budget is split by the same number of instances.
        table = PeerTable()
        table.register(PeerState("entry-1", 1, "a", "", ""), 0.0)
        table.unregister("entry-1")
        table.expire(LEASE_S / 2)
        self.assertEqual(table.expected(), ["entry-1"])
        self.assertEqual(table.expire(10 * LEASE_S), ["entry-1"])

    def test_its_part_is_kept_from_the_start(self):
        rates = FleetRates(WINDOW_S)
        rates.configure({"academy": Limit(1000.0, 8000.0)}, 0.0)
        rates.set_members(["entry-1"], 0.0)
        rates.charge("academy", 0.0, 2.0)
        level = rates.buckets["academy"].level
        rates.update_from_peer("entry-1", 7, {"academy": 5000.0}, 2.0)
        self.assertLessEqual(rates.buckets["academy"].level, level)

    def test_a_predecessor_s_unreported_spending_is_not_given_back(self):
        rates = FleetRates(WINDOW_S)
        rates.configure({"academy": Limit(1000.0, 8000.0)}, 0.0)
        rates.set_members(["entry-1"], 0.0)
        rates.update_from_peer("entry-1", 1, {}, 0.1)
        rates.charge("academy", 0.0, 2.0)
        level = rates.buckets["academy"].level
        rates.update_from_peer("entry-1", 2, {"academy": 0.0}, 2.0)
        self.assertLessEqual(rates.buckets["academy"].level, level)


if __name__ == "__main__":
    unittest.main()
