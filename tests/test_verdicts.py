"""Tests of the verdict on each way in which an attempt can fail."""

import dataclasses
import random
import socket
import threading
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaford.policy import (
    MAX_ATTEMPTS,
    FailedRequest,
    RetryBudget,
    RetryDecision,
)
from cassiaford.verdict import RefusalReason, Verdict
from tests.dispatcher_case import DispatcherCase
from tests.fakes import HANG_TIMEOUT_S, model_request, service_request, unused_address

OK_BODY = b'{"id": "x", "usage": {"prompt_tokens": 3, "completion_tokens": 4}}'


def answer_ok(connection):
    connection.answer(200, OK_BODY, content_type="application/json")


def reset_at_once(connection):
    connection.reset()


def reset_in_body(connection):
    connection.head(200, "Content-Length: 100")
    connection.send(b"half")
    connection.sock.shutdown(socket.SHUT_WR)


def silent_in_body(connection):
    connection.head(200, "Content-Length: 100")
    connection.send(b"half")
    connection.wait_closed()


def never_answer(connection):
    connection.wait_closed()


def not_started(connection):
    connection.answer(503, b"{}", x_not_started="true", retry_after=7)


def busy(connection):
    connection.answer(503, b"busy")


def crossed(connection):
    connection.answer(200, OK_BODY, x_request_id="r999")


def garbage(connection):
    connection.send(b"EHLO there\r\n\r\n")
    connection.wait_closed()


class AttemptTest(DispatcherCase):
    """Each failure with a request that may not be repeated, and with one that may."""

    def check_once(self, script, reason, status, **limits):
        """Check that a booking is tried once and refused as may have run."""
        server, other = self.serve(script), self.serve(answer_ok)
        setup = self.dispatch(server, other, **limits)
        answer, outcome = setup.ask(service_request())
        error = answer.error()
        self.assertEqual((answer.status, error["code"]), (status, reason.code))
        self.assertEqual(error["verdict"], "may_have_run")
        self.assertEqual(answer.headers["x-cassiaford-verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual((len(server.requests), len(other.requests)), (1, 0))

    def check_retried(self, script, **limits):
        """Check that a repeatable request is answered by another server."""
        server, other = self.serve(script), self.serve(answer_ok)
        setup = self.dispatch(server, other, **limits)
        answer, outcome = setup.ask(model_request(streaming=False))
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))
        self.assertEqual(outcome.servers, ("engine-0", "engine-1"))
        self.assertEqual(outcome.usage.total, 7)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual((len(server.requests), len(other.requests)), (1, 1))

    def test_reset_before_the_answer(self):
        self.check_once(reset_at_once, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(reset_at_once)

    def test_short_body(self):
        self.check_once(reset_in_body, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(reset_in_body)

    def test_silence_within_the_answer(self):
        self.check_once(silent_in_body, RefusalReason.BACKEND_TIMEOUT, 504)
        self.check_retried(silent_in_body)

    def test_no_answer_in_time(self):
        limits = {"first_byte_timeout_s": 0.2}
        self.check_once(never_answer, RefusalReason.BACKEND_TIMEOUT, 504, **limits)
        limits["request_timeout_s"] = HANG_TIMEOUT_S
        server, other = self.serve(never_answer), self.serve(answer_ok)
        setup = self.dispatch(server, other, **limits)
        request = service_request(repeatable=True)
        answer, outcome = setup.ask(request)
        self.assertEqual(answer.status, 200)
        self.assertEqual(outcome.servers, ("service-0", "service-1"))

    def test_answer_to_another_request(self):
        self.check_once(crossed, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(crossed)

    def test_answer_that_is_not_http(self):
        self.check_once(garbage, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(garbage)

    def test_busy_without_word_of_a_start(self):
        server, other = self.serve(busy), self.serve(answer_ok)
        setup = self.dispatch(server, other)
        answer, outcome = setup.ask(service_request())
        self.assertEqual((answer.status, answer.body), (503, b"busy"))
        self.assertEqual(answer.headers["x-cassiaford-verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(len(other.requests), 0)
        self.check_retried(busy)

    def test_request_timeout(self):
        setup = self.dispatch(self.serve(never_answer), request_timeout_s=0.3)
        answer, outcome = setup.ask(model_request())
        self.assertEqual(answer.error()["code"], "backend_server_timeout")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_other_errors_pass(self):
        def fault(connection):
            connection.answer(500, b"fault")

        server = self.serve(fault)
        answer, outcome = self.dispatch(server).ask(service_request())
        self.assertEqual((answer.status, answer.body), (500, b"fault"))
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual(outcome.body, b"fault")


class NotRunTest(DispatcherCase):
    def check_refused(self, setup, request, retry_after):
        answer, outcome = setup.ask(request)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.error()["verdict"], "not_run")
        self.assertEqual(answer.headers["retry-after"], retry_after)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        return answer.error()["code"]

    def test_refused_connections_go_elsewhere_even_for_a_booking(self):
        other = self.serve(answer_ok)
        setup = self.dispatch(unused_address(), other)
        answer, outcome = setup.ask(service_request())
        self.assertEqual(answer.status, 200)
        self.assertEqual(outcome.servers, ("service-0", "service-1"))
        suspected = [r.subject.server for r in setup.journal.snapshot()]
        self.assertIn("service-0", suspected)

    def test_a_request_that_may_no_longer_start_is_not_sent(self):
        server = self.serve(answer_ok)
        request = dataclasses.replace(service_request(), start_by=time.monotonic() - 1)
        answer, outcome = self.dispatch(server).ask(request)
        self.assertEqual(answer.status, 503)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(server.requests, [])

    def test_a_connection_that_does_not_come_about_goes_elsewhere(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            full = [self._connect(listener) for _ in range(4)]
            setup = self.dispatch(address, self.serve(answer_ok), connect_timeout_s=0.2)
            answer, outcome = setup.ask(service_request())
            for sock in full:
                sock.close()
        self.assertEqual(answer.status, 200)
        self.assertEqual(outcome.servers, ("service-0", "service-1"))

    def test_refused_by_all(self):
        setup = self.dispatch(unused_address(), unused_address())
        code = self.check_refused(setup, service_request(), "1")
        self.assertEqual(code, "retries_exhausted")

    def test_not_started_goes_elsewhere_even_for_a_booking(self):
        other = self.serve(answer_ok)
        setup = self.dispatch(self.serve(not_started), other)
        answer, _ = setup.ask(service_request())
        self.assertEqual(answer.status, 200)

    def test_a_server_that_asks_to_be_left_alone_is(self):
        server = self.serve(not_started)
        setup = self.dispatch(server)
        self.check_refused(setup, service_request(1), "7")
        code = self.check_refused(setup, service_request(2), "7")
        self.assertEqual(code, "no_backend_server")
        self.assertEqual(len(server.requests), 1)

    def test_an_earlier_doubt_outweighs_a_later_not_run(self):
        setup = self.dispatch(self.serve(reset_at_once), unused_address())
        answer, outcome = setup.ask(model_request(streaming=False))
        self.assertEqual(answer.error()["verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_no_server_at_all(self):
        code = self.check_refused(self.dispatch(), model_request(), "1")
        self.assertEqual(code, "no_backend_server")

    def test_a_deadline_that_passes_while_waiting(self):
        started = threading.Event()

        def script(connection):
            started.set()
            never_answer(connection)

        setup = self.dispatch(self.serve(script), slots=1, queue_length=1)
        first = setup.submit(model_request(1))
        self.assertTrue(started.wait(HANG_TIMEOUT_S))
        second = setup.submit(model_request(2, wait_s=0.3))
        third, _ = setup.ask(model_request(3))
        self.assertEqual(third.error()["code"], "queue_full")
        self.assertEqual(second.answer().error()["code"], "deadline_cannot_be_met")
        self.assertIs(setup.outcomes.get("r2").verdict, Verdict.NOT_RUN)
        first.sock.close()

    def test_a_request_that_cannot_be_written(self):
        server = self.serve(answer_ok)
        setup = self.dispatch(server)
        answer, outcome = setup.ask(service_request(target="/bookings?a b"))
        self.assertEqual(answer.status, 400)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(server.requests, [])

    def _connect(self, listener):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        return sock


class PassedOnTest(DispatcherCase):
    def test_nothing_of_the_caller_reaches_the_server(self):
        secrets = ("authorization", "api-key", "x-api-key", "cookie")
        headers = [(name, "cf-secret") for name in secrets]
        headers += [("connection", "x-mine"), ("x-mine", "1"), ("te", "trailers")]
        headers += [("accept", "a"), ("accept", "b"), ("idempotency-key", "k")]
        server = self.serve(answer_ok)
        setup = self.dispatch(server, credential="instance-credential")
        setup.ask(service_request(headers=headers))
        seen = server.requests[0]
        self.assertEqual(seen.line, "POST /bookings?day=1 HTTP/1.1")
        self.assertEqual(seen.headers["authorization"], "Bearer instance-credential")
        self.assertEqual(seen.headers["accept"], "a, b")
        self.assertEqual(seen.headers["idempotency-key"], "k")
        self.assertEqual(seen.headers["x-request-id"], "s1")
        self.assertNotIn("cf-secret", str(seen.headers))
        for name in ("cookie", "x-mine", "te", "x-api-key", "api-key"):
            self.assertNotIn(name, seen.headers)

    def test_engines_get_priority_and_salt(self):
        server = self.serve(answer_ok)
        self.dispatch(server).ask(model_request(streaming=False))
        headers = server.requests[0].headers
        self.assertEqual(headers["x-priority"], "1")
        self.assertRegex(headers["x-cache-salt"], "^[0-9a-f]{16}$")
        self.assertNotIn("authorization", headers)

    def test_answers_without_a_body(self):
        def head_only(connection):
            connection.head(200, "Content-Length: 9")
            connection.wait_closed()

        def no_content(connection):
            connection.head(204, "X-Any: 1")
            connection.wait_closed()

        for script, method, status in (
            (head_only, "HEAD", 200),
            (no_content, "POST", 204),
        ):
            with self.subTest(method=method):
                setup = self.dispatch(self.serve(script))
                answer, outcome = setup.ask(service_request(method=method))
                self.assertEqual((answer.status, answer.body), (status, b""))
                self.assertNotIn("transfer-encoding", answer.headers)
                self.assertIs(outcome.verdict, Verdict.RAN)

    def test_a_body_that_ends_with_its_connection(self):
        def script(connection):
            connection.send(b"HTTP/1.0 200 OK\r\n\r\nall of it")

        answer, _ = self.dispatch(self.serve(script)).ask(service_request())
        self.assertEqual(answer.body, b"all of it")
        self.assertTrue(answer.complete)

    def test_an_interim_answer_is_dropped(self):
        def script(connection):
            connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            answer_ok(connection)

        answer, _ = self.dispatch(self.serve(script)).ask(service_request())
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))


class RetryBudgetTest(unittest.TestCase):
    def request(self, verdict=Verdict.MAY_HAVE_RUN, repeatable=True, attempts=1):
        return FailedRequest(verdict, repeatable, attempts, deadline=100.0)

    def test_each_reason_not_to_retry(self):
        budget = RetryBudget(now=0.0)
        once = self.request(repeatable=False)
        self.assertIs(budget.decide(once, 1.0), RetryDecision.MAY_HAVE_RUN)
        often = self.request(attempts=MAX_ATTEMPTS)
        self.assertIs(budget.decide(often, 1.0), RetryDecision.TOO_MANY_ATTEMPTS)
        self.assertIs(budget.decide(self.request(), 100.0), RetryDecision.TOO_LATE)
        ran = self.request(verdict=Verdict.RAN)
        self.assertIs(budget.decide(ran, 1.0), RetryDecision.MAY_HAVE_RUN)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.integers(0, 2**32), st.floats(0.1, 1.0))
    def test_retries_never_exceed_their_share(self, seed, failing):
        rng = random.Random(seed)
        budget = RetryBudget(now=0.0, reserve=1.0)
        now, retries = 0.0, 0
        for first_tries in range(1, 301):
            now += rng.expovariate(50.0)
            budget.record_first_attempt(now)
            for _ in range(MAX_ATTEMPTS):
                if rng.random() > failing:
                    break
                decision = budget.decide(self.request(), now)
                if decision is not RetryDecision.RETRY:
                    break
                retries += 1
            allowed = budget.fraction * first_tries + budget.floor_per_s * (now + 1.0)
            self.assertLessEqual(retries, allowed + 1e-6)

    def test_a_new_instance_outlives_the_crash_of_a_full_server(self):
        budget = RetryBudget(now=0.0)
        decisions = [budget.decide(self.request(), 0.0) for _ in range(33)]
        self.assertEqual(decisions[:32], [RetryDecision.RETRY] * 32)
        self.assertIs(decisions[32], RetryDecision.BUDGET_USED_UP)

    def test_a_budget_used_up_refuses_at_once(self):
        budget = RetryBudget(now=0.0, fraction=0.0, floor_per_s=1.0, reserve=1.0)
        self.assertIs(budget.decide(self.request(), 0.0), RetryDecision.RETRY)
        late = budget.decide(self.request(), 0.5)
        self.assertIs(late, RetryDecision.BUDGET_USED_UP)
        self.assertIs(budget.decide(self.request(), 1.5), RetryDecision.RETRY)


class RetryStormTest(DispatcherCase):
    def test_failures_do_not_multiply_load(self):
        server, other = self.serve(reset_at_once), self.serve(reset_at_once)
        setup = self.dispatch(server, other, queue_length=256)
        setup.dispatcher.waiting.budget.floor_per_s = 0.0
        setup.dispatcher.waiting.budget.available = 1.0
        requests = [model_request(n, streaming=False) for n in range(50)]
        callers = [setup.submit(request) for request in requests]
        answers = [caller.answer() for caller in callers]
        self.assertEqual({answer.status for answer in answers}, {502})
        # A tenth of 50 first tries, and the one that the budget starts with.
        self.assertLessEqual(len(server.requests) + len(other.requests), 56)


if __name__ == "__main__":
    unittest.main()
