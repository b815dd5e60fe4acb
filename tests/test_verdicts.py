"""Tests of the verdicts and retries after each kind of failed attempt."""

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


def respond_ok(connection):
    connection.respond(200, OK_BODY, content_type="application/json")


def reset_before_response(connection):
    connection.reset()


def truncate_body(connection):
    connection.head(200, "Content-Length: 100")
    connection.send(b"half")
    connection.sock.shutdown(socket.SHUT_WR)


def stall_in_body(connection):
    connection.head(200, "Content-Length: 100")
    connection.send(b"half")
    connection.wait_closed()


def never_respond(connection):
    connection.wait_closed()


def not_started(connection):
    connection.respond(503, b"{}", x_not_started="true", retry_after=7)


def plain_503(connection):
    connection.respond(503, b"busy")


def mismatched(connection):
    connection.respond(200, OK_BODY, x_request_id="r999")


def invalid_http(connection):
    connection.send(b"EHLO there\r\n\r\n")
    connection.wait_closed()


class AttemptTest(DispatcherCase):
    """Tests each failure with a request that is not repeatable and with one that is."""

    def check_once(self, script, reason, status, **limits):
        """Check that an unrepeatable request is sent once, then refused."""
        server, other = self.serve(script), self.serve(respond_ok)
        setup = self.dispatch(server, other, **limits)
        response, outcome = setup.ask(service_request())
        error = response.error()
        self.assertEqual((response.status, error["code"]), (status, reason.code))
        self.assertEqual(error["verdict"], "may_have_run")
        self.assertEqual(response.headers["x-cassiaford-verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual((len(server.requests), len(other.requests)), (1, 0))

    def check_retried(self, script, **limits):
        """Check that a repeatable request is served by another server."""
        server, other = self.serve(script), self.serve(respond_ok)
        setup = self.dispatch(server, other, **limits)
        response, outcome = setup.ask(model_request(streaming=False))
        self.assertEqual((response.status, response.body), (200, OK_BODY))
        self.assertEqual(outcome.servers, ("engine-0", "engine-1"))
        self.assertEqual(outcome.usage.total, 7)
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual((len(server.requests), len(other.requests)), (1, 1))

    def test_reset_before_the_response(self):
        self.check_once(reset_before_response, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(reset_before_response)

    def test_truncated_body(self):
        self.check_once(truncate_body, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(truncate_body)

    def test_idle_connection_during_the_response(self):
        self.check_once(stall_in_body, RefusalReason.BACKEND_TIMEOUT, 504)
        self.check_retried(stall_in_body)

    def test_no_response_in_time(self):
        limits = {"first_byte_timeout_s": 0.2}
        self.check_once(never_respond, RefusalReason.BACKEND_TIMEOUT, 504, **limits)
        limits["request_timeout_s"] = HANG_TIMEOUT_S
        server, other = self.serve(never_respond), self.serve(respond_ok)
        setup = self.dispatch(server, other, **limits)
        request = service_request(repeatable=True)
        response, outcome = setup.ask(request)
        self.assertEqual(response.status, 200)
        self.assertEqual(outcome.servers, ("service-0", "service-1"))

    def test_response_to_another_request(self):
        self.check_once(mismatched, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(mismatched)

    def test_response_that_is_not_http(self):
        self.check_once(invalid_http, RefusalReason.BACKEND_FAILED, 502)
        self.check_retried(invalid_http)

    def test_503_without_a_not_started_header(self):
        server, other = self.serve(plain_503), self.serve(respond_ok)
        setup = self.dispatch(server, other)
        response, outcome = setup.ask(service_request())
        self.assertEqual((response.status, response.body), (503, b"busy"))
        self.assertEqual(response.headers["x-cassiaford-verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(len(other.requests), 0)
        self.check_retried(plain_503)

    def test_request_timeout(self):
        setup = self.dispatch(self.serve(never_respond), request_timeout_s=0.3)
        response, outcome = setup.ask(model_request())
        self.assertEqual(response.error()["code"], "backend_server_timeout")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_other_errors_are_relayed(self):
        def fault(connection):
            connection.respond(500, b"fault")

        server = self.serve(fault)
        response, outcome = self.dispatch(server).ask(service_request())
        self.assertEqual((response.status, response.body), (500, b"fault"))
        self.assertIs(outcome.verdict, Verdict.RAN)
        self.assertEqual(outcome.body, b"fault")


class NotRunTest(DispatcherCase):
    def check_refused(self, setup, request, retry_after):
        response, outcome = setup.ask(request)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.error()["verdict"], "not_run")
        self.assertEqual(response.headers["retry-after"], retry_after)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        return response.error()["code"]

    def test_a_refused_connection_is_retried_even_if_not_repeatable(self):
        other = self.serve(respond_ok)
        setup = self.dispatch(unused_address(), other)
        response, outcome = setup.ask(service_request())
        self.assertEqual(response.status, 200)
        self.assertEqual(outcome.servers, ("service-0", "service-1"))
        suspected = [r.subject.server for r in setup.journal.snapshot()]
        self.assertIn("service-0", suspected)

    def test_a_request_past_its_start_deadline_is_not_sent(self):
        server = self.serve(respond_ok)
        request = dataclasses.replace(service_request(), start_by=time.monotonic() - 1)
        response, outcome = self.dispatch(server).ask(request)
        self.assertEqual(response.status, 503)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(server.requests, [])

    def test_a_connection_timeout_is_retried(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            full = [self._connect(listener) for _ in range(4)]
            setup = self.dispatch(
                address, self.serve(respond_ok), connect_timeout_s=0.2
            )
            response, outcome = setup.ask(service_request())
            for sock in full:
                sock.close()
        self.assertEqual(response.status, 200)
        self.assertEqual(outcome.servers, ("service-0", "service-1"))

    def test_connections_refused_by_all_servers(self):
        setup = self.dispatch(unused_address(), unused_address())
        code = self.check_refused(setup, service_request(), "1")
        self.assertEqual(code, "retries_exhausted")

    def test_not_started_is_retried_even_if_not_repeatable(self):
        other = self.serve(respond_ok)
        setup = self.dispatch(self.serve(not_started), other)
        response, _ = setup.ask(service_request())
        self.assertEqual(response.status, 200)

    def test_a_server_is_not_used_during_its_retry_after(self):
        server = self.serve(not_started)
        setup = self.dispatch(server)
        self.check_refused(setup, service_request(1), "7")
        code = self.check_refused(setup, service_request(2), "7")
        self.assertEqual(code, "no_backend_server")
        self.assertEqual(len(server.requests), 1)

    def test_may_have_run_outweighs_a_later_not_run(self):
        setup = self.dispatch(self.serve(reset_before_response), unused_address())
        response, outcome = setup.ask(model_request(streaming=False))
        self.assertEqual(response.error()["verdict"], "may_have_run")
        self.assertIs(outcome.verdict, Verdict.MAY_HAVE_RUN)

    def test_no_server_at_all(self):
        code = self.check_refused(self.dispatch(), model_request(), "1")
        self.assertEqual(code, "no_backend_server")

    def test_a_deadline_that_passes_while_waiting(self):
        started = threading.Event()

        def script(connection):
            started.set()
            never_respond(connection)

        setup = self.dispatch(self.serve(script), slots=1, queue_length=1)
        first = setup.submit(model_request(1))
        self.assertTrue(started.wait(HANG_TIMEOUT_S))
        second = setup.submit(model_request(2, wait_s=0.3))
        third, _ = setup.ask(model_request(3))
        self.assertEqual(third.error()["code"], "queue_full")
        self.assertEqual(
            second.read_response().error()["code"], "deadline_cannot_be_met"
        )
        self.assertIs(setup.outcomes.get("r2").verdict, Verdict.NOT_RUN)
        first.sock.close()

    def test_a_request_that_cannot_be_written(self):
        server = self.serve(respond_ok)
        setup = self.dispatch(server)
        response, outcome = setup.ask(service_request(target="/bookings?a b"))
        self.assertEqual(response.status, 400)
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertEqual(server.requests, [])

    def _connect(self, listener):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        return sock


class PassedOnTest(DispatcherCase):
    def test_no_credentials_of_the_caller_reach_the_server(self):
        secrets = ("authorization", "api-key", "x-api-key", "cookie")
        headers = [(name, "cf-secret") for name in secrets]
        headers += [("connection", "x-mine"), ("x-mine", "1"), ("te", "trailers")]
        headers += [("accept", "a"), ("accept", "b"), ("idempotency-key", "k")]
        server = self.serve(respond_ok)
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
        server = self.serve(respond_ok)
        self.dispatch(server).ask(model_request(streaming=False))
        headers = server.requests[0].headers
        self.assertEqual(headers["x-priority"], "1")
        self.assertRegex(headers["x-cache-salt"], "^[0-9a-f]{16}$")
        self.assertNotIn("authorization", headers)

    def test_responses_without_a_body(self):
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
                response, outcome = setup.ask(service_request(method=method))
                self.assertEqual((response.status, response.body), (status, b""))
                self.assertNotIn("transfer-encoding", response.headers)
                self.assertIs(outcome.verdict, Verdict.RAN)

    def test_a_body_delimited_by_its_connection(self):
        def script(connection):
            connection.send(b"HTTP/1.0 200 OK\r\n\r\nall of it")

        response, _ = self.dispatch(self.serve(script)).ask(service_request())
        self.assertEqual(response.body, b"all of it")
        self.assertTrue(response.complete)

    def test_an_interim_response_is_dropped(self):
        def script(connection):
            connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            respond_ok(connection)

        response, _ = self.dispatch(self.serve(script)).ask(service_request())
        self.assertEqual((response.status, response.body), (200, OK_BODY))


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
    def test_retries_never_exceed_their_fraction(self, seed, failing):
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

    def test_a_new_instance_can_retry_all_requests_of_a_full_server(self):
        budget = RetryBudget(now=0.0)
        decisions = [budget.decide(self.request(), 0.0) for _ in range(33)]
        self.assertEqual(decisions[:32], [RetryDecision.RETRY] * 32)
        self.assertIs(decisions[32], RetryDecision.BUDGET_USED_UP)

    def test_an_exhausted_budget_refuses_immediately(self):
        budget = RetryBudget(now=0.0, fraction=0.0, floor_per_s=1.0, reserve=1.0)
        self.assertIs(budget.decide(self.request(), 0.0), RetryDecision.RETRY)
        late = budget.decide(self.request(), 0.5)
        self.assertIs(late, RetryDecision.BUDGET_USED_UP)
        self.assertIs(budget.decide(self.request(), 1.5), RetryDecision.RETRY)


class RetryStormTest(DispatcherCase):
    def test_failures_do_not_multiply_load(self):
        server, other = (
            self.serve(reset_before_response),
            self.serve(reset_before_response),
        )
        setup = self.dispatch(server, other, queue_length=256)
        setup.dispatcher.waiting.budget.floor_per_s = 0.0
        setup.dispatcher.waiting.budget.available = 1.0
        requests = [model_request(n, streaming=False) for n in range(50)]
        callers = [setup.submit(request) for request in requests]
        responses = [caller.read_response() for caller in callers]
        self.assertEqual({response.status for response in responses}, {502})
        # A tenth of 50 first attempts, and the one retry that the budget starts with.
        self.assertLessEqual(len(server.requests) + len(other.requests), 56)


if __name__ == "__main__":
    unittest.main()
