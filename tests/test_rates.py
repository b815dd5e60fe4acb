"""Tests of the customers' rates and bursts over the whole fleet, under failures."""

import functools
import random
import unittest

from bench.fleet_shares import CUSTOMER, Fleet, Network
from cassiaford.policy import (
    Holder,
    Ledger,
    LedgerPoll,
    LedgerReport,
    Limit,
    LoanGrant,
    LoanRequest,
    RateShares,
    ReturnedLoan,
    _share,
)
from tests.schedules import seeds

SCHEDULES = 16
SPAN_S = 40.0
ROUNDING_ERROR = 1e-6
LIMIT = Limit(10_000.0, 20_000.0)
LOAN_TTL_S = _share.LOAN_TTL_S
LOAN_MARGIN_S = _share.LOAN_MARGIN_S
WEIGHTS = (50, 25, 10, 5, 5, 3, 2)


class RandomFailures:
    """Failures of every kind at seeded random times, sometimes two at once."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(f"failures/{seed}")
        self.next()

    def next(self):
        delay = self.rng.expovariate(1.0)
        self.fleet.at(self.fleet.now + delay, self.fail)

    def fail(self):
        failures = [self.crash, self.pause, self.outage, self.cut, self.restart_all]
        weights = [4, 4, 1, 2, 0.2]
        self.rng.choices(failures, weights)[0]()
        self.next()

    def node(self):
        return self.rng.choice(list(self.fleet.nodes.values()))

    def crash(self):
        node = self.node()
        if node.shares is not None:
            self.fleet.crash(node, restart=self.rng.random() < 0.8)

    def pause(self):
        self.fleet.pause(self.node(), self.rng.uniform(0.5, 20.0))

    def outage(self):
        self.fleet.service_down = not self.fleet.service_down

    def cut(self):
        size = self.rng.choice([0, 0, 2, 3])
        self.fleet.partitioned = set(self.rng.sample(sorted(self.fleet.nodes), size))

    def restart_all(self):
        for node in self.fleet.nodes.values():
            if node.shares is not None:
                self.fleet.crash(node)


class FleetBoundTest(unittest.TestCase):
    def run_fleet(self, seed):
        if seed % 2:
            network = Network(loss=0.05, duplication=0.1, jitter_s=0.004)
            fleet = Fleet(seed, network=network)
            fleet.offer_load(3.0, 800.0, SPAN_S, WEIGHTS)
            return fleet
        # The burst is worth twenty seconds of the rate, so that budget lost in
        # failures does not hide budget that is created by mistake.
        network = Network(loss=0.02, duplication=0.1, jitter_s=0.004)
        fleet = Fleet(seed, network=network, limit=Limit(2000.0, 40_000.0))
        fleet.offer_load(5.0, 800.0, SPAN_S, WEIGHTS)
        return fleet

    def test_never_more_than_burst_and_rate_under_failures(self):
        for seed in seeds(SCHEDULES):
            with self.subTest(seed=seed):
                fleet = self.run_fleet(seed)
                RandomFailures(fleet, seed)
                fleet.run(SPAN_S)
                self.assertGreaterEqual(fleet.meter.min_level, -ROUNDING_ERROR)

    def test_a_restart_in_a_cut_spends_nothing_twice(self):
        for seed in seeds(SCHEDULES):
            with self.subTest(seed=seed):
                fleet = self.run_fleet(seed)
                nodes = list(fleet.nodes.values())
                cut_off = {node.name for node in nodes[: seed % 3 + 1]}
                fleet.at(10.0, lambda f=fleet, c=cut_off: setattr(f, "partitioned", c))
                for node in nodes:
                    if node.name not in cut_off or seed % 4 == 0:
                        fleet.at(12.0, functools.partial(fleet.crash, node))
                fleet.at(20.0, lambda f=fleet: setattr(f, "partitioned", set()))
                fleet.run(SPAN_S)
                self.assertGreaterEqual(fleet.meter.min_level, -ROUNDING_ERROR)

    def test_a_resumed_holder_that_was_replaced_uses_nothing(self):
        for seed in seeds(SCHEDULES):
            with self.subTest(seed=seed):
                fleet = self.run_fleet(seed)
                for node in list(fleet.nodes.values())[:3]:
                    fleet.at(5.0, functools.partial(fleet.pause, node, 20.0))
                fleet.run(SPAN_S)
                self.assertGreaterEqual(fleet.meter.min_level, -ROUNDING_ERROR)

    def test_without_failures_the_whole_rate_is_usable(self):
        fleet = Fleet(1)
        fleet.offer_load(0.8, 400.0, 60.0, WEIGHTS)
        fleet.run(15.0)
        wrongful = fleet.meter.wrongful_refusals
        fleet.run(60.0)
        self.assertLessEqual(fleet.meter.wrongful_refusals - wrongful, 5)


class RateSharesTest(unittest.TestCase):
    def setUp(self):
        self.owner = RateShares("entry-1", 1, 0.0)
        self.owner.configure({CUSTOMER: LIMIT}, 0.0)
        self.owner.apply_first_ledger(Ledger(1, (Holder("entry-1", 1),)), 0.0)
        self.borrower = RateShares("entry-2", 1, 0.0)
        self.borrower.configure({CUSTOMER: LIMIT}, 0.0)
        self.borrower.apply_ledger(self.owner.ledger, 0.0)

    def request(self, tokens, now=0.0):
        (send,) = self.borrower.request_loans(CUSTOMER, tokens, now)
        return send.message

    def lend(self, request, now=0.0):
        (send,) = self.owner.receive(self.borrower.holder, request, now)
        return send.message

    def test_a_duplicated_grant_is_added_once(self):
        grant = self.lend(self.request(6000.0))
        for _ in range(2):
            self.borrower.receive(self.owner.holder, grant, 0.0)
        self.assertTrue(self.borrower.charge(CUSTOMER, 6000.0, 0.0))
        self.assertFalse(self.borrower.charge(CUSTOMER, 1.0, 0.0))

    def test_a_duplicated_request_lends_and_refunds_once(self):
        request = LoanRequest(CUSTOMER, 1, 6000.0, refund=500.0)
        self.owner.charge(CUSTOMER, 10_000.0, 0.0)
        self.assertEqual(self.lend(request).tokens, 6000.0)
        self.assertEqual(self.lend(request).tokens, 0.0)
        self.assertTrue(self.owner.charge(CUSTOMER, 4500.0, 0.0))
        self.assertFalse(self.owner.charge(CUSTOMER, 1.0, 0.0))

    def test_a_late_grant_adds_no_tokens(self):
        grant = self.lend(self.request(6000.0))
        self.borrower.tick(LOAN_TTL_S)
        self.borrower.receive(self.owner.holder, grant, LOAN_TTL_S)
        self.assertFalse(self.borrower.charge(CUSTOMER, 1.0, LOAN_TTL_S))

    def test_a_loan_ends_at_the_borrower_before_it_does_at_the_owner(self):
        grant = self.lend(self.request(20_000.0))
        self.borrower.receive(self.owner.holder, grant, 0.0)
        self.assertFalse(self.borrower.charge(CUSTOMER, 1.0, LOAN_TTL_S))
        expired_at = LOAN_TTL_S + LOAN_MARGIN_S
        self.assertFalse(self.owner.charge(CUSTOMER, 1.0, expired_at - 0.01))
        self.assertTrue(self.owner.charge(CUSTOMER, 900.0, expired_at + 0.1))

    def test_a_returned_loan_is_added_back_once(self):
        loan = self.lend(self.request(20_000.0)).loan
        returned = LoanRequest(
            CUSTOMER, loan + 1, 0.0, returned=(ReturnedLoan(loan, 5000.0),)
        )
        for _ in range(2):
            self.owner.receive(self.borrower.holder, returned, 0.0)
        self.assertTrue(self.owner.charge(CUSTOMER, 5000.0, 0.0))
        self.assertFalse(self.owner.charge(CUSTOMER, 1.0, 0.0))

    def test_a_refund_never_exceeds_the_burst(self):
        self.owner.refund(CUSTOMER, 9000.0, 0.0)
        self.assertFalse(self.owner.charge(CUSTOMER, 20_001.0, 0.0))

    def test_a_debt_is_paid_before_more_is_taken(self):
        self.owner.charge(CUSTOMER, 20_000.0, 0.0)
        self.owner.refund(CUSTOMER, -5000.0, 0.0)
        self.assertFalse(self.owner.charge(CUSTOMER, 1.0, 0.5))
        self.assertAlmostEqual(self.owner.retry_after(CUSTOMER, 1000.0, 0.5), 0.1)

    def test_a_resumed_holder_waits_for_confirmation(self):
        self.assertFalse(self.owner.charge(CUSTOMER, 1.0, 3.0))
        self.owner.apply_service_ledger(self.owner.ledger, 2.9, 3.1)
        self.assertFalse(self.owner.charge(CUSTOMER, 1.0, 3.1))
        self.owner.apply_service_ledger(self.owner.ledger, 3.1, 3.1)
        self.assertTrue(self.owner.charge(CUSTOMER, 1.0, 3.1))

    def test_a_restarted_holder_starts_empty_and_borrows_from_peers(self):
        restarted = RateShares("entry-1", 2, 0.0)
        restarted.configure({CUSTOMER: LIMIT}, 0.0)
        holders = (Holder("entry-1", 2), Holder("entry-2", 1))
        restarted.apply_ledger(Ledger(5, holders), 0.0)
        self.assertFalse(restarted.charge(CUSTOMER, 1.0, 0.1))
        (send,) = restarted.request_loans(CUSTOMER, 1.0, 0.1)
        self.assertEqual(send.instance, "entry-2")
        grant = LoanGrant(CUSTOMER, send.message.loan, 100.0, 0.0)
        restarted.receive(Holder("entry-2", 1), grant, 0.1)
        self.assertTrue(restarted.charge(CUSTOMER, 1.0, 0.1))

    def growing(self):
        """Return the shares of a new holder, which grow once the owner's shrink."""
        shares = RateShares("entry-3", 1, 0.0)
        shares.configure({CUSTOMER: LIMIT}, 0.0)
        holders = (self.owner.holder, shares.holder)
        shares.apply_ledger(Ledger(2, holders), 0.0)
        return shares

    def run_ticks(self, shares, start, end):
        """Tick until a time and return the last poll that was sent."""
        polls = []
        for step in range(int(start * 10), int(end * 10) + 1):
            sends = shares.tick(step / 10)
            polls.extend(s.message for s in sends if isinstance(s.message, LedgerPoll))
        return polls[-1] if polls else None

    def test_shares_grow_only_once_the_previous_owner_has_reported(self):
        growing = self.growing()
        poll = self.run_ticks(growing, 0.1, 5.0)
        self.assertFalse(growing.charge(CUSTOMER, 1.0, 5.0))
        late = LedgerReport(poll.number, 1, confirmed=True)
        growing.receive(self.owner.holder, late, 5.0)
        self.run_ticks(growing, 5.1, 9.0)
        self.assertFalse(growing.charge(CUSTOMER, 1.0, 9.0))

    def test_shares_grow_from_zero_once_old_loans_have_expired(self):
        growing = self.growing()
        poll = self.run_ticks(growing, 0.1, 0.2)
        reports = self.owner.receive(growing.holder, poll, 0.2)
        ledger_poll = reports[1].message
        (reply,) = growing.receive(self.owner.holder, ledger_poll, 0.2)
        self.owner.receive(growing.holder, reply.message, 0.2)
        self.assertFalse(self.owner.charge(CUSTOMER, 10_001.0, 0.2))
        report = LedgerReport(poll.number, 2, confirmed=True)
        growing.receive(self.owner.holder, report, 0.2)
        # The owner's earlier loans expire first.
        grown_at = 0.3 + LOAN_TTL_S + 2 * LOAN_MARGIN_S
        self.run_ticks(growing, 0.3, grown_at - 0.1)
        self.assertFalse(growing.charge(CUSTOMER, 1.0, grown_at - 0.05))
        self.run_ticks(growing, grown_at, grown_at + 0.6)
        self.assertTrue(growing.charge(CUSTOMER, 2000.0, grown_at + 0.6))
        self.assertFalse(growing.charge(CUSTOMER, 5000.0, grown_at + 0.6))

    def test_an_unknown_customer_is_refused_for_a_second(self):
        self.assertFalse(self.owner.charge("later", 1.0, 1.0))
        self.assertEqual(self.owner.retry_after("later", 500.0, 1.0), 1.0)

    def test_a_new_customer_has_its_whole_burst(self):
        self.owner.configure({CUSTOMER: LIMIT, "new": LIMIT}, 1.0)
        self.assertTrue(self.owner.charge("new", 20_000.0, 1.0))


if __name__ == "__main__":
    unittest.main()
