"""Tests of streams: complete and in order, or visibly failed."""

import random
import socket
import threading
import time
import unittest

from cassiaford.verdict import Verdict
from tests.fakes import (
    DONE,
    HANG_TIMEOUT_S,
    Caller,
    DispatcherCase,
    full_stream,
    model_request,
    token,
    usage,
)

EVENTS = [token(number) for number in range(6)]
WHOLE = b"".join(EVENTS) + DONE


def broken_stream(count, end, partial=b""):
    """Return a script that sends some events and then ends in a way."""

    def script(connection):
        connection.stream_head(x_request_id=connection.request.headers["x-request-id"])
        connection.events(*EVENTS[:count])
        if partial:
            connection.chunk(partial)
        end(connection)

    return script


def silent(connection):
    connection.wait_closed()


def reset(connection):
    # The bytes sent before must arrive: a reset would overtake them.
    time.sleep(0.05)
    connection.reset()


def closed(connection):
    connection.sock.close()


def ended(connection):
    connection.end()


def resume(connection):
    """Go on after the offset that the request names."""
    offset = connection.request.offset
    connection.stream_head(x_resume_offset=offset)
    connection.events(*EVENTS[offset:], DONE)
    connection.end()


def unknown(connection):
    connection.answer(404)


class WholeStreamTest(DispatcherCase):
    def test_events_pass_byte_for_byte(self):
        setup = self.dispatch(self.serve(full_stream(*EVENTS)))
        answer, outcome = setup.ask(model_request())
        self.assertEqual((answer.status, answer.body), (200, WHOLE))
        self.assertTrue(answer.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual(outcome.servers, ("engine-0",))

    def test_usage_that_the_caller_did_not_ask_for_stays_here(self):
        server = self.serve(full_stream(*EVENTS, usage()))
        answer, outcome = self.dispatch(server).ask(model_request())
        self.assertEqual(answer.body, WHOLE)
        self.assertEqual(outcome.usage.total, 12)
        self.assertIn(b'"include_usage": true', server.requests[0].body)

    def test_usage_that_the_caller_asked_for_passes(self):
        setup = self.dispatch(self.serve(full_stream(*EVENTS, usage())))
        options = {"include_usage": True}
        answer, outcome = setup.ask(model_request(stream_options=options))
        self.assertEqual(answer.body, b"".join(EVENTS) + usage() + DONE)
        self.assertEqual(outcome.usage.total, 12)

    def test_events_cut_anywhere_arrive_whole(self):
        def script(connection):
            connection.stream_head()
            for start in range(0, len(WHOLE), 7):
                connection.chunk(WHOLE[start : start + 7])
            connection.end()

        answer, _ = self.dispatch(self.serve(script)).ask(model_request())
        self.assertEqual(answer.body, WHOLE)

    def test_a_finish_reason_stands_for_done(self):
        def script(connection):
            connection.stream_head()
            connection.events(token(0, finish="stop"))
            connection.end()

        answer, outcome = self.dispatch(self.serve(script)).ask(model_request())
        self.assertTrue(answer.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)


class ResumeTest(DispatcherCase):
    def check_resumed(self, server, setup, offset):
        answer, outcome = setup.ask(model_request())
        self.assertEqual(answer.body, WHOLE)
        self.assertTrue(answer.complete)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual([r.offset for r in server.requests], [None, offset])

    def test_a_broken_stream_is_resumed_at_its_offset(self):
        for end in (silent, reset, closed, ended):
            with self.subTest(end=end.__name__):
                server = self.serve(broken_stream(3, end), resume)
                self.check_resumed(server, self.dispatch(server), 3)

    def test_half_an_event_is_asked_for_again(self):
        half = EVENTS[2][:20]
        server = self.serve(broken_stream(2, closed, half), resume)
        self.check_resumed(server, self.dispatch(server), 2)

    def test_a_server_that_starts_again_sends_nothing_twice(self):
        server = self.serve(broken_stream(3, silent), full_stream(*EVENTS))
        self.check_resumed(server, self.dispatch(server), 3)

    def test_a_stream_twice_silent_is_resumed_twice(self):
        def second(connection):
            connection.stream_head(x_resume_offset=2)
            connection.events(*EVENTS[2:4])
            connection.wait_closed()

        server = self.serve(broken_stream(2, silent), second, resume)
        answer, _ = self.dispatch(server).ask(model_request())
        self.assertEqual(answer.body, WHOLE)
        self.assertEqual([r.offset for r in server.requests], [None, 2, 4])

    def test_silence_before_the_first_event_is_resumed_from_the_start(self):
        server = self.serve(silent, resume)
        setup = self.dispatch(server, first_byte_timeout_s=0.3)
        self.check_resumed(server, setup, 0)

    def test_a_server_that_stays_silent_is_given_up(self):
        server = self.serve(broken_stream(2, silent), silent)
        setup = self.dispatch(server, first_byte_timeout_s=0.3)
        answer, outcome = setup.ask(model_request())
        self.assertFalse(answer.complete)
        self.assertEqual(answer.error()["verdict"], "may_have_run")
        self.assertEqual(len(server.requests), 3)
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)


class OtherServerTest(DispatcherCase):
    def ask(self, first, second, **options):
        setup = self.dispatch(self.serve(*first), self.serve(*second))
        return setup.ask(model_request(**options))

    def check_visibly_failed(self, answer, outcome, events):
        self.assertFalse(answer.complete)
        self.assertTrue(answer.body.startswith(b"".join(events) + b'data: {"error"'))
        self.assertEqual(answer.error()["verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_lost_stream_goes_on_where_the_same_events_come(self):
        first = (broken_stream(3, reset), unknown)
        answer, outcome = self.ask(first, [full_stream(*EVENTS)])
        self.assertEqual(answer.body, WHOLE)
        self.assertEqual(outcome.servers, ("engine-0", "engine-1"))
        self.assertIs(outcome.verdict, Verdict.RAN)

    def test_a_crashed_engine_is_left(self):
        def crash(connection):
            broken_stream(3, closed)(connection)

        server = self.serve(crash)
        setup = self.dispatch(server, self.serve(full_stream(*EVENTS)))
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[0])
        server.close()
        self.assertEqual(caller.answer().body, WHOLE)

    def test_a_different_second_run_fails_visibly(self):
        first = (broken_stream(3, reset), unknown)
        second = [full_stream(EVENTS[0], token(1, "other"), *EVENTS[2:])]
        answer, outcome = self.ask(first, second)
        self.check_visibly_failed(answer, outcome, EVENTS[:3])

    def test_a_second_run_that_ends_early_fails_visibly(self):
        first = (broken_stream(3, reset), unknown)
        answer, outcome = self.ask(first, [full_stream(*EVENTS[:2])])
        self.check_visibly_failed(answer, outcome, EVENTS[:3])

    def test_a_random_stream_is_not_run_again(self):
        first = (broken_stream(3, reset), unknown)
        answer, outcome = self.ask(first, [full_stream(*EVENTS)], temperature=None)
        self.check_visibly_failed(answer, outcome, EVENTS[:3])
        self.assertEqual(outcome.servers, ("engine-0",))

    def test_a_stream_that_may_not_be_repeated_is_not_run_again(self):
        first = (broken_stream(3, reset), unknown)
        answer, outcome = self.ask(first, [full_stream(*EVENTS)], repeatable=False)
        self.check_visibly_failed(answer, outcome, EVENTS[:3])

    def test_a_broken_stream_never_looks_complete(self):
        """Cut a stream in every byte of its last events, with no way to go on."""
        raw = b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in (*EVENTS[:2], DONE))
        for length in range(0, len(raw), 9):

            def script(connection, length=length):
                connection.stream_head()
                connection.send(raw[:length])

            setup = self.dispatch(self.serve(script, unknown))
            answer, _ = setup.ask(model_request(temperature=None))
            self.assertFalse(answer.complete and answer.status == 200, length)
            self.assertNotIn(DONE, answer.body)


class CallerTest(DispatcherCase):
    def test_a_caller_that_leaves_cancels_the_work(self):
        server = self.serve(broken_stream(2, silent))
        setup = self.dispatch(server, silence_timeout_s=HANG_TIMEOUT_S)
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        caller.sock.close()
        self.assertEqual(server.cancelled.get(timeout=HANG_TIMEOUT_S), "r1")
        outcome = setup.outcomes.get("r1")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_caller_that_left_while_waiting_runs_nothing(self):
        server = self.serve(broken_stream(2, silent))
        setup = self.dispatch(server, slots=1, silence_timeout_s=HANG_TIMEOUT_S)
        first = setup.submit(model_request(1))
        first.read_until(EVENTS[1])
        second = setup.submit(model_request(2))
        second.sock.close()
        outcome = setup.outcomes.get("r2")
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(len(server.requests), 1)
        first.sock.close()

    def test_a_slow_caller_stops_the_reading(self):
        # More than the kernel's buffers take in.
        size, count = 100_000, 320
        sent = []

        def script(connection):
            connection.stream_head()
            for number in range(count):
                connection.chunk(token(number, "x" * size))
                sent.append(number)
            connection.events(DONE)
            connection.end()

        setup = self.dispatch(self.serve(script))
        caller = setup.submit(model_request(), Caller(buffer_bytes=4096))
        caller.read_until(b"x")
        # The sender stops once all buffers are full; then, and not before,
        # its progress stands still.
        before = -1
        while before != len(sent):
            before = len(sent)
            time.sleep(1.0)
        self.assertLess(before, count)
        answer = caller.answer()
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body.count(b"data: "), count + 1)

    def test_callers_that_close_at_any_moment_harm_no_one(self):
        rng = random.Random(5)

        def script(connection):
            connection.stream_head()
            for event in EVENTS:
                connection.chunk(event)
                time.sleep(0.005)
            connection.events(DONE)
            connection.end()

        setup = self.dispatch(self.serve(script), slots=256, queue_length=256)
        callers = []
        for number in range(120):
            callers.append(setup.submit(model_request(number)))
            if rng.random() < 0.7:
                _close_some_way(rng, callers.pop(rng.randrange(len(callers))))
        whole = [caller.answer().body for caller in callers]
        self.assertEqual(whole, [WHOLE] * len(callers))
        for number in range(120):
            setup.outcomes.get(f"r{number}")
        names = [thread.name for thread in threading.enumerate()]
        self.assertEqual(sum(name.startswith("dispatch-") for name in names), 8)

    def test_a_socket_closed_before_it_is_handed_over(self):
        setup = self.dispatch(self.serve(full_stream(*EVENTS)))
        caller = Caller()
        caller.far_end.close()
        setup.submit(model_request(), caller)
        self.assertEqual(setup.outcomes.get("r1").status, 0)
        answer, _ = setup.ask(model_request(2))
        self.assertEqual(answer.body, WHOLE)


def _close_some_way(rng, caller):
    way = rng.randrange(3)
    if way == 0:
        caller.sock.shutdown(socket.SHUT_WR)
    elif way == 1:
        linger = b"\x01\0\0\0\0\0\0\0"
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.sock.close()


class DrainTest(DispatcherCase):
    def test_drain_waits_for_the_end_of_streams(self):
        go_on = threading.Event()

        def script(connection):
            connection.stream_head()
            connection.events(*EVENTS[:2])
            go_on.wait(HANG_TIMEOUT_S)
            connection.events(*EVENTS[2:], DONE)
            connection.end()

        setup = self.dispatch(self.serve(script), silence_timeout_s=HANG_TIMEOUT_S)
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        threading.Timer(0.2, go_on.set).start()
        self.assertEqual(setup.dispatcher.drain(HANG_TIMEOUT_S), 0)
        self.assertEqual(caller.answer().body, WHOLE)

    def test_drain_cuts_visibly_what_does_not_end(self):
        setup = self.dispatch(
            self.serve(broken_stream(2, silent)), silence_timeout_s=HANG_TIMEOUT_S
        )
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        self.assertEqual(setup.dispatcher.drain(0.05), 1)
        answer = caller.answer()
        self.assertFalse(answer.complete)
        self.assertEqual(answer.error()["code"], "instance_stopping")

    def test_stop_refuses_what_waits(self):
        setup = self.dispatch(
            self.serve(broken_stream(2, silent)),
            slots=1,
            silence_timeout_s=HANG_TIMEOUT_S,
        )
        setup.submit(model_request(1)).read_until(EVENTS[1])
        waiting = setup.submit(model_request(2))
        setup.close()
        self.assertEqual(waiting.answer().error()["verdict"], "not_run")
        late, outcome = setup.ask(model_request(3))
        self.assertEqual(late.error()["code"], "instance_stopping")
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
