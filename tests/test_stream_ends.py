"""Tests of streams whose caller disconnects or reads slowly, and of shutdown."""

import random
import socket
import threading
import time
import unittest

from cassiaford.verdict import Verdict
from tests.dispatcher_case import DispatcherCase
from tests.fakes import (
    DONE,
    HANG_TIMEOUT_S,
    Caller,
    full_stream,
    model_request,
    token_event,
)
from tests.stream_scripts import EVENTS, WHOLE, broken_stream, silent


class CallerTest(DispatcherCase):
    def test_a_caller_that_disconnects_cancels_its_request(self):
        server = self.serve(broken_stream(2, silent))
        setup = self.dispatch(server, silence_timeout_s=HANG_TIMEOUT_S)
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        caller.sock.close()
        self.assertEqual(server.cancelled.get(timeout=HANG_TIMEOUT_S), "r1")
        outcome = setup.outcomes.get("r1")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_queued_request_of_a_disconnected_caller_is_not_sent(self):
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

    def check_stream_pauses(self, count, *scripts):
        """Check that a caller that does not read stops the server's stream."""
        sent = []

        def long_stream(connection):
            connection.stream_head(x_resume_offset=connection.request.offset)
            for number in range(count):
                connection.chunk(token_event(number, "x" * 100_000))
                sent.append(number)
            connection.events(DONE)
            connection.end()

        setup = self.dispatch(self.serve(*scripts, long_stream))
        caller = setup.submit(model_request(), Caller(buffer_bytes=4096))
        caller.read_until(b"x")
        # The server blocks once all buffers are full.
        before = -1
        while before != len(sent):
            before = len(sent)
            time.sleep(1.0)
        self.assertLess(before, count)
        response = caller.read_response()
        self.assertTrue(response.complete)
        return response.body.count(b"data: ")

    def test_a_slow_caller_pauses_its_stream(self):
        self.assertEqual(self.check_stream_pauses(320), 321)

    def test_a_slow_caller_pauses_a_resumed_stream(self):
        def one_event_and_the_end(connection):
            event = token_event(0, "x" * 100_000)
            connection.stream_head()
            connection.send(b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event))

        self.assertEqual(self.check_stream_pauses(320, one_event_and_the_end), 322)

    def test_disconnecting_callers_do_not_affect_others(self):
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
                _close_in_random_way(rng, callers.pop(rng.randrange(len(callers))))
        bodies = [caller.read_response().body for caller in callers]
        self.assertEqual(bodies, [WHOLE] * len(callers))
        for number in range(120):
            setup.outcomes.get(f"r{number}")
        names = [thread.name for thread in threading.enumerate()]
        self.assertEqual(sum(name.startswith("dispatch-") for name in names), 8)

    def test_a_socket_closed_before_submission(self):
        setup = self.dispatch(self.serve(full_stream(*EVENTS)))
        caller = Caller()
        caller.dispatcher_socket.close()
        setup.submit(model_request(), caller)
        self.assertEqual(setup.outcomes.get("r1").status, 0)
        response, _ = setup.ask(model_request(2))
        self.assertEqual(response.body, WHOLE)


def _close_in_random_way(rng, caller):
    choice = rng.randrange(3)
    if choice == 0:
        caller.sock.shutdown(socket.SHUT_WR)
    elif choice == 1:
        linger = b"\x01\0\0\0\0\0\0\0"
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.sock.close()


class DrainTest(DispatcherCase):
    def test_drain_waits_for_streams_to_end(self):
        send_rest = threading.Event()

        def script(connection):
            connection.stream_head()
            connection.events(*EVENTS[:2])
            send_rest.wait(HANG_TIMEOUT_S)
            connection.events(*EVENTS[2:], DONE)
            connection.end()

        setup = self.dispatch(self.serve(script), silence_timeout_s=HANG_TIMEOUT_S)
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        threading.Timer(0.2, send_rest.set).start()
        self.assertEqual(setup.dispatcher.drain(HANG_TIMEOUT_S), 0)
        self.assertEqual(caller.read_response().body, WHOLE)

    def test_drain_aborts_remaining_streams_visibly(self):
        setup = self.dispatch(
            self.serve(broken_stream(2, silent)), silence_timeout_s=HANG_TIMEOUT_S
        )
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        self.assertEqual(setup.dispatcher.drain(0.05), 1)
        response = caller.read_response()
        self.assertFalse(response.complete)
        self.assertEqual(response.error()["code"], "instance_stopping")

    def test_an_aborted_drain_ends_immediately(self):
        setup = self.dispatch(
            self.serve(broken_stream(2, silent)), silence_timeout_s=HANG_TIMEOUT_S
        )
        caller = setup.submit(model_request())
        caller.read_until(EVENTS[1])
        setup.dispatcher.abort_drain()
        self.assertEqual(setup.dispatcher.drain(HANG_TIMEOUT_S), 1)
        self.assertEqual(caller.read_response().error()["code"], "instance_stopping")

    def test_stop_refuses_queued_requests(self):
        setup = self.dispatch(
            self.serve(broken_stream(2, silent)),
            slots=1,
            silence_timeout_s=HANG_TIMEOUT_S,
        )
        setup.submit(model_request(1)).read_until(EVENTS[1])
        waiting = setup.submit(model_request(2))
        setup.close()
        self.assertEqual(waiting.read_response().error()["verdict"], "not_run")
        late, outcome = setup.ask(model_request(3))
        self.assertEqual(late.error()["code"], "instance_stopping")
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
