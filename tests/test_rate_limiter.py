"""Tests of the rate limiter over threads, peers and the key-value service."""

import time
import unittest

from cassiaford.config import Configuration, Customer
from cassiaford.fleet import PeerMessage, create_rate_limiter
from cassiaford.fleet._rates_codec import (
    ShareCodecError,
    decode_ledger,
    decode_message,
    encode_ledger,
    encode_message,
)
from cassiaford.policy import (
    Holder,
    Ledger,
    LedgerPoll,
    LedgerReport,
    LoanGrant,
    LoanRequest,
    ReturnedLoan,
)
from cassiaford.timeline import HybridClock, Journal
from cassiaford.verdict import RefusalReason, Verdict
from tests.fakes_claims import FakeKeyValue
from tests.fakes_peers import FakeTransport

SHOP = Customer("shop", rate=1000.0, burst=5000.0)
CONFIGURATION = Configuration(customers={"shop": SHOP})


class RateLimiterTest(unittest.TestCase):
    def setUp(self):
        self.key_value = FakeKeyValue()
        self.fleet = {}
        self.limiters = []

    def tearDown(self):
        for limiter in self.limiters:
            limiter.stop()
        for transport in self.fleet.values():
            transport.close()

    def limiter(self, name):
        journal = Journal(name, 1, HybridClock(time.time), write=lambda *line: None)
        transport = FakeTransport(name, self.fleet)
        limiter = create_rate_limiter(self.key_value, transport, journal, name, 1)
        limiter.configure(CONFIGURATION)
        limiter.start()
        self.limiters.append(limiter)
        return limiter

    def wait_until(self, condition):
        deadline = time.monotonic() + 30.0
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)

    def test_a_request_over_the_burst_is_refused_without_a_retry_time(self):
        refusal = self.limiter("entry-1").charge(SHOP, 5001)
        self.assertIs(refusal.reason, RefusalReason.OVER_BURST)
        self.assertIsNone(refusal.retry_after_s)

    def test_the_whole_burst_is_available_at_first_and_then_the_rate(self):
        limiter = self.limiter("entry-1")
        self.assertIsNone(limiter.charge(SHOP, 5000))
        refusal = limiter.charge(SHOP, 2500)
        self.assertIs(refusal.reason, RefusalReason.RATE_LIMITED)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertLessEqual(refusal.retry_after_s, 2.5)
        self.assertGreater(refusal.retry_after_s, 0.0)
        limiter.refund("shop", 2500)
        self.assertIsNone(limiter.charge(SHOP, 2500))

    def test_a_disconnected_instance_does_not_report_the_rate_as_used_up(self):
        limiter = self.limiter("entry-1")
        self.assertIsNone(limiter.charge(SHOP, 5000))
        self.assertIn("rate is used up", limiter.charge(SHOP, 2500).message)
        self.key_value.down = True
        for transport in self.fleet.values():
            self.addCleanup(transport.close)
        self.fleet = {}
        refusal = self.limiter("entry-2").charge(SHOP, 1)
        self.assertIs(refusal.reason, RefusalReason.RATE_LIMITED)
        self.assertIn("ask another instance", refusal.message)

    def test_an_instance_borrows_while_the_service_is_down(self):
        first = self.limiter("entry-1")
        self.key_value.down = True
        second = self.limiter("entry-2")
        self.wait_until(lambda: second.rate_shares.ledger.epoch == 1)
        self.wait_until(lambda: second.charge(SHOP, 4000) is None)
        self.assertIsNotNone(first.charge(SHOP, 4000))

    def test_a_leaving_instance_hands_over_its_shares(self):
        first, second = self.limiter("entry-1"), self.limiter("entry-2")
        first.leave()
        self.wait_until(lambda: second.rate_shares.ledger.epoch == 3)
        self.wait_until(lambda: second.rate_shares.converged)
        self.assertEqual(second.rate_shares.ledger.holders, (Holder("entry-2", 1),))
        self.assertEqual(second.rate_shares.shares["shop"].fraction, 1.0)

    def test_an_undecodable_message_is_counted(self):
        limiter = self.limiter("entry-1")
        for body in (b"", b"\xff" * 40):
            limiter._on_message(PeerMessage("entry-2", 1, None, body))
        self.assertGreaterEqual(limiter.undecoded, 1)


class CodecTest(unittest.TestCase):
    def test_messages_round_trip(self):
        ledger = Ledger(3, (Holder("entry-1", 7), Holder("entry-2", 1)))
        messages = [
            LoanRequest(
                "shop", 4, 10.5, 2.0, (ReturnedLoan(1, 0.0), ReturnedLoan(2, 3.5))
            ),
            LoanGrant("shop", 4, 10.5, 0.0),
            LedgerPoll(9, 3),
            LedgerReport(9, 3, True),
            LedgerReport(9, 3, False, ledger),
        ]
        for message in messages:
            self.assertEqual(decode_message(encode_message(message)), message)
        self.assertEqual(decode_ledger(encode_ledger(ledger)), ledger)
        self.assertEqual(decode_ledger(None), Ledger())

    def test_amounts_that_would_create_tokens_are_rejected(self):
        for amount in (-1.0, float("nan"), float("inf")):
            with self.assertRaises(ShareCodecError):
                decode_message(encode_message(LoanGrant("shop", 1, amount, 0.0)))


if __name__ == "__main__":
    unittest.main()
