"""Tests of what instances tell each other about long prompts."""

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

LONG = 5 * MIN_REPORTED_TOKENS


class SentPromptsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = {}
        self.heard = []
        self.told = threading.Semaphore(0)
        self.parts = {name: self.part(name) for name in ("entry-1", "entry-2")}

    def part(self, name):
        transport = FakeTransport(name, self.fleet)
        self.addCleanup(transport.close)
        journal = Journal(name, 1, HybridClock(lambda: 0.0), write=lambda *_: None)
        part = SentPromptExchange(transport, journal, name)

        def hear(server, tokens):
            self.heard.append((name, server, tokens))
            self.told.release()

        part.on_peer_prompt = hear
        part.start()
        return part

    def test_a_long_prompt_is_told_to_peers_and_a_short_one_is_not(self):
        self.parts["entry-1"].broadcast("engine-1", MIN_REPORTED_TOKENS - 1)
        self.parts["entry-1"].broadcast("engine-2", LONG)
        self.assertTrue(self.told.acquire(timeout=10.0))
        self.assertEqual(self.heard, [("entry-2", "engine-2", LONG)])

    def test_a_large_fleet_goes_by_reports_alone(self):
        for number in range(40):
            self.addCleanup(FakeTransport(f"more-{number}", self.fleet).close)
        sent = []
        transport = self.parts["entry-1"].transport
        transport.send = lambda *message: sent.append(message)
        self.parts["entry-1"].broadcast("engine-1", LONG)
        self.assertEqual(sent, [])

    def test_a_message_that_is_not_understood_is_logged(self):
        part = self.parts["entry-1"]
        part._on_message(PeerMessage("entry-2", 1, Channel.LOAD, b"\xff" * 40))
        events = [record.event for record in part.journal.snapshot()]
        self.assertEqual(events, [Event.PEER_MESSAGE_DROPPED])
        self.assertEqual(self.heard, [])


class DispatcherTest(DispatcherCase):
    def test_a_sent_prompt_is_passed_on_with_what_is_to_be_computed(self):
        setup = self.dispatch(self.serve(full_stream()))
        sent = []
        setup.dispatcher.waiting.on_sent = lambda *told: sent.append(told)
        request = model_request()
        setup.ask(request)
        self.assertEqual(sent, [("engine-0", request.call.prompt_tokens)])

    def test_what_a_peer_tells_reaches_placement(self):
        setup = self.dispatch(self.serve(full_stream()))
        heard = []
        setup.placement.record_peer_start = lambda *told: heard.append(told[:2])
        setup.dispatcher.observe_peer_prompt("engine-9", LONG)
        self.assertEqual(heard, [("engine-9", LONG)])


if __name__ == "__main__":
    unittest.main()
