"""Tests of the announcements of long prompts between instances."""

import threading
import unittest

from cassiaford.fleet import (
    MIN_REPORTED_TOKENS,
    Channel,
    PeerMessage,
    SentPromptExchange,
)
from cassiaford.logs import Event
from cassiaford.timeline import HybridClock, Journal
from tests.dispatcher_case import DispatcherCase
from tests.fakes import full_stream, model_request
from tests.fakes_peers import FakeTransport

LONG_PROMPT_TOKENS = 5 * MIN_REPORTED_TOKENS


class SentPromptExchangeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = {}
        self.received = []
        self.delivered = threading.Semaphore(0)
        self.exchanges = {
            name: self.create_exchange(name) for name in ("entry-1", "entry-2")
        }

    def create_exchange(self, name):
        transport = FakeTransport(name, self.fleet)
        self.addCleanup(transport.close)
        journal = Journal(name, 1, HybridClock(lambda: 0.0), write=lambda *_: None)
        exchange = SentPromptExchange(transport, journal, name)

        def on_prompt(server, tokens):
            self.received.append((name, server, tokens))
            self.delivered.release()

        exchange.on_peer_prompt = on_prompt
        exchange.start()
        return exchange

    def test_a_long_prompt_is_announced_to_peers_and_a_short_one_is_not(self):
        self.exchanges["entry-1"].broadcast("engine-1", MIN_REPORTED_TOKENS - 1)
        self.exchanges["entry-1"].broadcast("engine-2", LONG_PROMPT_TOKENS)
        self.assertTrue(self.delivered.acquire(timeout=10.0))
        self.assertEqual(self.received, [("entry-2", "engine-2", LONG_PROMPT_TOKENS)])

    def test_a_large_fleet_relies_on_load_reports_alone(self):
        for number in range(40):
            self.addCleanup(FakeTransport(f"more-{number}", self.fleet).close)
        sent = []
        transport = self.exchanges["entry-1"].transport
        transport.send = lambda *message: sent.append(message)
        self.exchanges["entry-1"].broadcast("engine-1", LONG_PROMPT_TOKENS)
        self.assertEqual(sent, [])

    def test_an_undecodable_message_is_logged(self):
        exchange = self.exchanges["entry-1"]
        exchange._on_message(PeerMessage("entry-2", 1, Channel.LOAD, b"\xff" * 40))
        events = [record.event for record in exchange.journal.snapshot()]
        self.assertEqual(events, [Event.PEER_MESSAGE_DROPPED])
        self.assertEqual(self.received, [])


class DispatcherTest(DispatcherCase):
    def test_a_sent_prompt_is_passed_on_with_its_tokens_to_compute(self):
        setup = self.dispatch(self.serve(full_stream()))
        sent = []
        setup.dispatcher.waiting.on_sent = lambda *arguments: sent.append(arguments)
        request = model_request()
        setup.ask(request)
        self.assertEqual(sent, [("engine-0", request.call.prompt_tokens)])

    def test_a_peers_announcement_reaches_placement(self):
        setup = self.dispatch(self.serve(full_stream()))
        received = []
        setup.placement.record_peer_start = lambda *arguments: received.append(
            arguments[:2]
        )
        setup.dispatcher.observe_peer_prompt("engine-9", LONG_PROMPT_TOKENS)
        self.assertEqual(received, [("engine-9", LONG_PROMPT_TOKENS)])


if __name__ == "__main__":
    unittest.main()
