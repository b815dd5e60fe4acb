"""Tests that streams arrive complete and in order, or fail visibly."""

import collections
import json
import random
import threading
import time
import unittest

from cassiaford.verdict import Verdict
from tests.dispatcher_case import DispatcherCase
from tests.fakes import (
    DONE,
    full_stream,
    model_request,
    token_event,
    usage_event,
)
from tests.stream_scripts import EVENTS, WHOLE, broken_stream, silent

# Seeds 106 and 153 guard against a single byte being taken for an event.
SEEDS = (0, 1, 2, 3, 106, 153)
COMMENT = b": none\n\n"


def reset_connection(connection):
    # A reset discards bytes in transit, so let the earlier ones arrive first.
    time.sleep(0.05)
    connection.reset()


def close_connection(connection):
    connection.sock.close()


def end_body(connection):
    connection.end()


def resume_stream(connection):
    """Continue the stream after the requested offset."""
    offset = connection.request.offset
    connection.stream_head(x_resume_offset=offset)
    connection.events(*EVENTS[offset:], DONE)
    connection.end()


def unknown_stream(connection):
    connection.respond(404)


class WholeStreamTest(DispatcherCase):
    def test_events_are_relayed_byte_for_byte(self):
        setup = self.dispatch(self.serve(full_stream(*EVENTS)))
        response, outcome = setup.ask(model_request())
        self.assertEqual((response.status, response.body), (200, WHOLE))
        self.assertTrue(response.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual(outcome.servers, ("engine-0",))

    def test_usage_that_the_caller_did_not_request_is_removed(self):
        server = self.serve(full_stream(*EVENTS, usage_event()))
        response, outcome = self.dispatch(server).ask(model_request())
        self.assertEqual(response.body, WHOLE)
        self.assertEqual(outcome.usage.total, 12)
        sent = json.loads(server.requests[0].body)
        self.assertEqual(sent["stream_options"], {"include_usage": True})
        self.assertEqual(sent["prompt"], "p")

    def test_other_stream_options_are_kept(self):
        server = self.serve(full_stream(*EVENTS, usage_event()))
        options = {"include_usage": False, "x": 1}
        setup = self.dispatch(server)
        response, _ = setup.ask(model_request(stream_options=options))
        self.assertEqual(response.body, WHOLE)
        sent = json.loads(server.requests[0].body)
        self.assertEqual(sent["stream_options"], {"include_usage": True, "x": 1})

    def test_usage_that_the_caller_requested_is_relayed(self):
        setup = self.dispatch(self.serve(full_stream(*EVENTS, usage_event())))
        options = {"include_usage": True}
        response, outcome = setup.ask(model_request(stream_options=options))
        self.assertEqual(response.body, b"".join(EVENTS) + usage_event() + DONE)
        self.assertEqual(outcome.usage.total, 12)

    def test_events_split_at_any_byte_arrive_complete(self):
        for step in (1, 2, 7):

            def script(connection, step=step):
                connection.stream_head()
                for start in range(0, len(WHOLE), step):
                    connection.chunk(WHOLE[start : start + step])
                connection.end()

            response, _ = self.dispatch(self.serve(script)).ask(model_request())
            self.assertEqual(response.body, WHOLE)

    def test_a_single_byte_is_no_event(self):
        server = self.serve(broken_stream(2, close_connection, b"d"), resume_stream)
        response, _ = self.dispatch(server).ask(model_request())
        self.assertEqual(response.body, WHOLE)

    def test_a_finish_reason_completes_a_stream(self):
        def script(connection):
            connection.stream_head()
            connection.events(token_event(0, finish="stop"))
            connection.end()

        response, outcome = self.dispatch(self.serve(script)).ask(model_request())
        self.assertTrue(response.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)


class ResumeTest(DispatcherCase):
    def check_resumed(self, server, setup, offset):
        response, outcome = setup.ask(model_request())
        self.assertEqual(response.body, WHOLE)
        self.assertTrue(response.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual([r.offset for r in server.requests], [None, offset])

    def test_a_broken_stream_is_resumed_at_its_offset(self):
        for end in (silent, reset_connection, close_connection, end_body):
            with self.subTest(end=end.__name__):
                server = self.serve(broken_stream(3, end), resume_stream)
                self.check_resumed(server, self.dispatch(server), 3)

    def test_a_partial_event_is_requested_again(self):
        half = EVENTS[2][:20]
        server = self.serve(broken_stream(2, close_connection, half), resume_stream)
        self.check_resumed(server, self.dispatch(server), 2)

    def test_a_restarted_stream_is_not_sent_twice(self):
        server = self.serve(broken_stream(3, silent), full_stream(*EVENTS))
        self.check_resumed(server, self.dispatch(server), 3)

    def test_a_stream_that_stalls_twice_is_resumed_twice(self):
        def resume_and_stall(connection):
            connection.stream_head(x_resume_offset=2)
            connection.events(*EVENTS[2:4])
            connection.wait_closed()

        server = self.serve(broken_stream(2, silent), resume_and_stall, resume_stream)
        response, _ = self.dispatch(server).ask(model_request())
        self.assertEqual(response.body, WHOLE)
        self.assertEqual([r.offset for r in server.requests], [None, 2, 4])

    def test_silence_before_the_first_event_is_resumed_from_the_start(self):
        server = self.serve(silent, resume_stream)
        setup = self.dispatch(server, first_byte_timeout_s=0.3)
        self.check_resumed(server, setup, 0)

    def test_a_server_that_stays_silent_fails_the_stream(self):
        server = self.serve(broken_stream(2, silent), silent)
        setup = self.dispatch(server, first_byte_timeout_s=0.3)
        response, outcome = setup.ask(model_request())
        self.assertFalse(response.complete)
        self.assertEqual(response.error()["verdict"], "may_have_run")
        self.assertEqual(len(server.requests), 3)
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)


class OtherServerTest(DispatcherCase):
    def ask(self, first, second, **options):
        setup = self.dispatch(self.serve(*first), self.serve(*second))
        return setup.ask(model_request(**options))

    def check_visibly_failed(self, response, outcome, events):
        self.assertFalse(response.complete)
        self.assertTrue(response.body.startswith(b"".join(events) + b'data: {"error"'))
        self.assertEqual(response.error()["verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_lost_stream_continues_if_a_new_run_sends_the_same_events(self):
        first = (broken_stream(3, reset_connection), unknown_stream)
        response, outcome = self.ask(first, [full_stream(*EVENTS)])
        self.assertEqual(response.body, WHOLE)
        self.assertEqual(outcome.servers, ("engine-0", "engine-1"))
        self.assertIs(outcome.verdict, Verdict.RAN)

    def test_a_stream_continues_after_its_engine_crashed(self):
        def crash(connection):
            broken_stream(3, close_connection)(connection)

        server = self.serve(crash)
        setup = self.dispatch(server, self.serve(full_stream(*EVENTS)))
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[0])
        server.close()
        self.assertEqual(caller.read_response().body, WHOLE)

    def test_a_different_second_run_fails_visibly(self):
        first = (broken_stream(3, reset_connection), unknown_stream)
        second = [full_stream(EVENTS[0], token_event(1, "other"), *EVENTS[2:])]
        response, outcome = self.ask(first, second)
        self.check_visibly_failed(response, outcome, EVENTS[:3])

    def test_a_second_run_that_ends_early_fails_visibly(self):
        first = (broken_stream(3, reset_connection), unknown_stream)
        response, outcome = self.ask(first, [full_stream(*EVENTS[:2])])
        self.check_visibly_failed(response, outcome, EVENTS[:3])

    def test_a_nondeterministic_stream_is_not_run_again(self):
        first = (broken_stream(3, reset_connection), unknown_stream)
        response, outcome = self.ask(first, [full_stream(*EVENTS)], temperature=None)
        self.check_visibly_failed(response, outcome, EVENTS[:3])
        self.assertEqual(outcome.servers, ("engine-0",))

    def test_a_stream_that_may_not_be_repeated_is_not_run_again(self):
        first = (broken_stream(3, reset_connection), unknown_stream)
        response, outcome = self.ask(first, [full_stream(*EVENTS)], repeatable=False)
        self.check_visibly_failed(response, outcome, EVENTS[:3])

    def test_a_broken_stream_never_looks_complete(self):
        """Truncate a stream at many points, where it can neither resume nor restart."""
        raw = b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in (*EVENTS[:2], DONE))
        for length in range(0, len(raw), 9):

            def script(connection, length=length):
                connection.stream_head()
                connection.send(raw[:length])

            setup = self.dispatch(self.serve(script, unknown_stream))
            response, _ = setup.ask(model_request(temperature=None))
            self.assertFalse(response.complete and response.status == 200, length)
            self.assertNotIn(DONE, response.body)


class RandomFaultsTest(DispatcherCase):
    """Each connection fails randomly, as a fixed seed determines."""

    def script(self, seed, started):
        """Return a script that may refuse, respond wrongly or break off.

        The behaviour depends on the seed, the request and its attempt.
        """
        seen = collections.Counter()
        lock = threading.Lock()

        def script(connection):
            name = connection.request.headers["x-request-id"]
            with lock:
                seen[name] += 1
                rng = random.Random(f"{seed} {name} {seen[name]}")
            fault = rng.randrange(12)
            if fault == 0:
                connection.respond(503, x_not_started="true")
                return
            started.add(name)
            if fault == 1:
                connection.respond(503)
            elif fault == 2:
                connection.respond(200, x_request_id="r-other")
            elif fault == 3:
                connection.reset()
            else:
                self.stream(connection, fault, rng.randrange(len(WHOLE) + 200))

        return script

    def stream(self, connection, fault, length):
        """Send part of a stream, resumed or restarted, or report it as unknown."""
        offset = connection.request.offset
        first = 0
        if offset is not None and fault < 6:
            unknown_stream(connection)
            return
        headers = {}
        if offset is not None and fault < 10:
            first, headers = offset, {"x_resume_offset": offset}
        connection.stream_head(**headers)
        raw = b"".join((*EVENTS, DONE)[first:])
        connection.chunk(raw[:length] or COMMENT)
        if length >= len(raw) or fault % 3 == 0:
            connection.end()
        elif fault % 3 == 1:
            connection.wait_closed()

    def check(self, response, outcome, started):
        body = response.body.replace(COMMENT, b"")
        if response.complete and response.status == 200:
            self.assertEqual(body, WHOLE)
            self.assertIs(outcome.verdict, Verdict.RAN)
            return
        self.assertIsNot(outcome.verdict, Verdict.RAN)
        if outcome.verdict is Verdict.NOT_RUN:
            self.assertFalse(started)
        if response.status != 200:
            verdict = response.headers["x-cassiaford-verdict"]
            self.assertEqual(verdict, outcome.verdict.value)
        else:
            self.assertEqual(response.error()["verdict"], outcome.verdict.value)
            sent = body[: body.rindex(b'data: {"error"')]
            self.assertTrue(WHOLE.startswith(sent))

    def test_streams_are_complete_and_in_order_or_fail_visibly(self):
        complete_count = 0
        for seed in SEEDS:
            started = set()
            script = self.script(seed, started)
            servers = [self.serve(script) for _ in range(3)]
            setup = self.dispatch(*servers, silence_timeout_s=0.1)
            # A larger retry budget than in production, to test more kinds of recovery.
            setup.dispatcher.waiting.budget.capacity = 1000.0
            setup.dispatcher.waiting.budget.available = 1000.0
            requests = [model_request(n, repeatable=n % 4 > 0) for n in range(24)]
            callers = [setup.submit(request) for request in requests]
            for request, caller in zip(requests, callers, strict=True):
                response = caller.read_response()
                outcome = setup.outcomes.get(request.request_id)
                with self.subTest(seed=seed, request=request.request_id):
                    self.check(response, outcome, request.request_id in started)
                complete_count += response.complete and response.status == 200
        self.assertGreater(complete_count, 80)


if __name__ == "__main__":
    unittest.main()
