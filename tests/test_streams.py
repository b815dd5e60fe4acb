"""Tests of streams: complete and in order, or visibly failed."""

import unittest

from cassiaford.verdict import Verdict
from tests.fakes import (
    DONE,
    Bench,
    FakeServer,
    full_stream,
    model_request,
    token,
)

EVENTS = [token(number) for number in range(6)]
WHOLE = b"".join(EVENTS) + DONE


class StreamCase(unittest.TestCase):
    """A test with fake servers and a dispatcher before them."""

    def serve(self, *scripts):
        server = FakeServer(*scripts)
        self.addCleanup(server.close)
        return server

    def bench(self, *servers, **options):
        addresses = [getattr(server, "address", server) for server in servers]
        bench = Bench(*addresses, **options)
        self.addCleanup(self.check_and_close, bench)
        return bench

    def check_and_close(self, bench):
        bench.close()
        self.assertEqual(bench.outcomes.doubled, [])
        self.assertEqual(bench.dispatcher.in_flight, 0)
        self.assertEqual(bench.dispatcher.health.in_flight, {})


class WholeStreamTest(StreamCase):
    def test_events_pass_byte_for_byte(self):
        bench = self.bench(self.serve(full_stream(*EVENTS)))
        answer, outcome = bench.ask(model_request())
        self.assertEqual((answer.status, answer.body), (200, WHOLE))
        self.assertTrue(answer.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual(outcome.servers, ("engine-0",))


if __name__ == "__main__":
    unittest.main()
