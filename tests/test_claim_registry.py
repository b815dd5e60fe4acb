"""Tests of claims over threads, peers and the key-value service."""

import threading
import time
import unittest

from cassiaford.fleet import create_claim_registry, shard_of
from cassiaford.fleet._claim_messages import (
    ClaimMessageError,
    ClaimReply,
    ForwardedClaim,
    ForwardedOutcome,
    OutcomeConfirmed,
    decode_claim_message,
    encode_claim_message,
)
from cassiaford.pipeline._messages import Outcome
from cassiaford.policy import (
    Claim,
    ClaimRecord,
    RecordedOutcome,
)
from cassiaford.timeline import HybridClock, Journal
from cassiaford.verdict import Refusal, RefusalReason, Verdict
from tests.fakes_claims import FakeKeyValue
from tests.fakes_peers import FakeTransport

KEY = "1" * 32


class ClaimRegistryTest(unittest.TestCase):
    def setUp(self):
        self.key_value = FakeKeyValue()
        self.registries = []
        self.transports = {}

    def tearDown(self):
        self.key_value.down = False
        for registry in self.registries:
            self.assertTrue(registry.stop(10.0))
        for transport in self.transports.values():
            transport.close()

    def create_transports(self, names):
        return {name: FakeTransport(name, self.transports) for name in names}

    def registry(self, instance="entry-1", incarnation=1):
        clock = HybridClock(time.time)
        journal = Journal(instance, incarnation, clock, write=lambda *line: None)
        transport = self.transports.get(instance)
        registry = create_claim_registry(
            self.key_value, journal, instance, incarnation, transport=transport
        )
        self.registries.append(registry)
        return registry

    def test_the_recorded_outcome_reaches_another_instance(self):
        first, second = self.registry("entry-1"), self.registry("entry-2")
        claim = first.claim("shop", "key", "f", "r1")
        refusal = second.claim("shop", "key", "f", "r2")
        self.assertIs(refusal.reason, RefusalReason.IN_PROGRESS)
        first.record_outcome(
            claim, Outcome(Verdict.RAN, 201, body=b"x", content_type="a/b")
        )
        self.assertTrue(first.stop(10.0))
        outcome = second.claim("shop", "key", "f", "r3")
        self.assertEqual(outcome, RecordedOutcome("r1", 201, "a/b", b"x"))

    def test_an_outcome_too_large_to_store_is_recorded_without_its_body(self):
        registry = self.registry()
        claim = registry.claim("shop", "key", "f", "r1")
        registry.record_outcome(claim, Outcome(Verdict.RAN, 200, body=b"x" * 5000))
        outcome = registry.claim("shop", "key", "f", "r2")
        self.assertEqual((outcome.status, outcome.body_kept), (200, False))

    def test_outcomes_of_older_claims_are_found_in_sealed_segments(self):
        registry = self.registry()
        body = b"x" * 4000
        for number in range(20):
            claim = registry.claim("shop", f"key-{number}", "f", "r1")
            registry.record_outcome(claim, Outcome(Verdict.RAN, 200, body=body))
        other = self.registry("entry-2")
        self.assertTrue(registry.stop(10.0))
        for number in range(20):
            outcome = other.claim("shop", f"key-{number}", "f", "r2")
            self.assertEqual(outcome, RecordedOutcome("r1", 200, "", body))
        names = [key for key in self.key_value.entries if key.startswith("sealed")]
        self.assertTrue(names)
        for entry in self.key_value.entries.values():
            self.assertLess(len(entry.value), 200_000)

    def forwarding_pair(self):
        """Return the registry that forwards, and that of the home."""
        self.create_transports(["entry-1", "entry-2"])
        pair = [self.registry("entry-1"), self.registry("entry-2")]
        home = pair[0].forwarder.home(shard_of("shop"))
        return pair if home else pair[::-1]

    def test_a_forwarded_claim_is_written_by_its_home_alone(self):
        sender, home = self.forwarding_pair()
        claim = sender.claim("shop", "key", "f", "r1")
        self.assertIsInstance(claim, Claim)
        self.assertEqual(claim.record.instance, sender.instance)
        self.assertFalse(sender._workers)
        refusal = home.claim("shop", "key", "f", "r2")
        self.assertIs(refusal.reason, RefusalReason.IN_PROGRESS)
        sender.record_outcome(claim, Outcome(Verdict.RAN, 201, body=b"x"))
        self.assertTrue(sender.stop(10.0))
        outcome = home.claim("shop", "key", "f", "r3")
        self.assertEqual(outcome, RecordedOutcome("r1", 201, "", b"x"))

    def test_a_claim_is_made_locally_if_its_home_does_not_reply(self):
        sender, home = self.forwarding_pair()
        # The home makes the claim, and its reply is lost.
        self.transports[home.instance].lose = 1
        claim = sender.claim("shop", "key", "f", "r1")
        self.assertIsInstance(claim, Claim)
        sender.record_outcome(claim, Outcome(Verdict.NOT_RUN, 503))
        self.assertTrue(sender.stop(10.0))
        self.assertIsInstance(home.claim("shop", "key", "f", "r2"), Claim)

    def test_an_outcome_that_does_not_arrive_is_recorded_by_its_sender(self):
        sender, home = self.forwarding_pair()
        claim = sender.claim("shop", "key", "f", "r1")
        self.transports[sender.instance].lose = 1
        sender.record_outcome(claim, Outcome(Verdict.NOT_RUN, 503))
        self.assertTrue(sender.stop(10.0))
        self.assertIsInstance(home.claim("shop", "key", "f", "r2"), Claim)

    def test_an_outage_at_the_home_is_reported_at_once(self):
        sender, _ = self.forwarding_pair()
        self.key_value.down = True
        refusal = sender.claim("shop", "key", "f", "r1")
        self.assertIs(refusal.reason, RefusalReason.CLAIMS_UNAVAILABLE)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_claim_messages_round_trip(self):
        record = ClaimRecord(KEY, "f", "n", "r", "entry-1", 2, 5.0)
        refusal = Refusal(RefusalReason.IN_PROGRESS, Verdict.MAY_HAVE_RUN, "m", 1.0)
        outcome = RecordedOutcome("r", 200, "a/b", b"body", False)
        messages = [ForwardedClaim("01", record), ForwardedOutcome("01", record)]
        messages += [ClaimReply("n", a) for a in (None, refusal, outcome)]
        messages.append(OutcomeConfirmed("n"))
        for message in messages:
            body = encode_claim_message(message)
            self.assertEqual(decode_claim_message(body), message)
        for body in (b"\xff" * 30, encode_claim_message(messages[0])[:-9]):
            with self.assertRaises(ClaimMessageError):
                decode_claim_message(body)

    def test_not_run_releases_the_claim(self):
        registry = self.registry()
        claim = registry.claim("shop", "key", "f", "r1")
        registry.record_outcome(claim, Outcome(Verdict.NOT_RUN, 503))
        self.assertIsInstance(registry.claim("shop", "key", "f", "r2"), Claim)

    def test_the_nonce_resolves_a_lost_response(self):
        self.key_value.lost_responses = 1
        answer = self.registry().claim("shop", "key", "f", "r1")
        self.assertIsInstance(answer, Claim)

    def test_an_outage_refuses_at_once_and_outcomes_survive_it(self):
        registry = self.registry()
        claim = registry.claim("shop", "old", "f", "r1")
        self.key_value.down = True
        registry.record_outcome(claim, Outcome(Verdict.RAN, 200))
        refusal = registry.claim("shop", "new", "f", "r2")
        self.assertIs(refusal.reason, RefusalReason.CLAIMS_UNAVAILABLE)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertIsInstance(registry.claim("shop", "old", "f", "r3"), RecordedOutcome)
        self.key_value.down = False
        self.assertTrue(registry.stop(10.0))
        other = self.registry("entry-2")
        self.assertIsInstance(other.claim("shop", "old", "f", "r4"), RecordedOutcome)

    def test_only_one_of_many_racing_claims_is_granted(self):
        registries = [self.registry(f"entry-{n}") for n in range(4)]
        answers = []

        def claim(registry, number):
            answers.append(registry.claim("shop", "key", "f", f"r{number}"))

        threads = [
            threading.Thread(target=claim, args=(registries[n % 4], n))
            for n in range(16)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30.0)
        granted = [answer for answer in answers if isinstance(answer, Claim)]
        refused = [answer for answer in answers if isinstance(answer, Refusal)]
        self.assertEqual((len(granted), len(refused)), (1, 15))
        self.assertEqual({r.reason for r in refused}, {RefusalReason.IN_PROGRESS})


if __name__ == "__main__":
    unittest.main()
