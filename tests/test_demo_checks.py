"""Tests that the demo's checks detect each broken invariant, and how it retries."""

import json
import socket
import threading
import unittest
from dataclasses import replace

from standins._demo_calls import (
    Attempt,
    Call,
    CallKind,
    CallOutcome,
    CallResult,
    ModelCaller,
    perform,
)
from standins._demo_report import Evidence, format_table, run_checks
from standins._records import RunRecord

KEY = "cf-1234-secret"
ENTRY = "127.0.0.1:1"
KILLED = "127.0.0.1:2"


def result(kind, *attempts, **more):
    outcome = CallOutcome.COMPLETED if attempts[-1].completed else CallOutcome.REFUSED
    return CallResult(kind, outcome, attempts, 0.1, **more)


def record(request_id, started=True, key="", **headers):
    path = "/bookings" if key else "/v1/completions"
    return RunRecord(request_id, key, path, headers, started)


GOOD = Evidence(
    results=(
        result(CallKind.MARKING, Attempt(ENTRY, True), correct=True),
        result(CallKind.CHECK, Attempt(ENTRY, True)),
        result(CallKind.LOOKUP, Attempt(ENTRY, True)),
        result(CallKind.BOOKING, Attempt(ENTRY, True), idempotency_key="b1"),
        result(CallKind.MARKING, Attempt(KILLED, truncated=True), Attempt(ENTRY, True)),
        result(CallKind.CHECK, Attempt(ENTRY, verdict="not_run", request_id="refused")),
    ),
    records=(record("r1"), record("r2", key="b1"), record("refused", started=False)),
    keys=(KEY,),
    killed_address=KILLED,
    stop_statuses=(0, 0),
)


class ChecksTest(unittest.TestCase):
    def assert_broken(self, evidence, name):
        broken = [check.name for check in run_checks(evidence) if not check.held]
        self.assertEqual(broken, [name])

    def with_result(self, *results):
        return replace(GOOD, results=(*GOOD.results, *results))

    def with_record(self, *records):
        return replace(GOOD, records=(*GOOD.records, *records))

    def test_good_run_holds(self):
        self.assertTrue(all(check.held for check in run_checks(GOOD)))
        self.assertEqual(len(format_table(GOOD.results).splitlines()), 5)

    def test_wrong_answer(self):
        wrong = result(CallKind.CHECK, Attempt(ENTRY, True), correct=False)
        name = "every answer is whole, in order and the right one"
        self.assert_broken(self.with_result(wrong), name)

    def test_stream_truncated_by_a_live_instance(self):
        truncated = result(
            CallKind.MARKING, Attempt(ENTRY, truncated=True), Attempt(ENTRY, True)
        )
        name = "only the killed instance cut streams"
        self.assert_broken(self.with_result(truncated), name)

    def test_booking_that_ran_twice_or_not_at_all(self):
        name = "a booking runs at most once"
        self.assert_broken(self.with_record(record("r9", key="b1")), name)
        lost = result(CallKind.BOOKING, Attempt(ENTRY, True), idempotency_key="b2")
        self.assert_broken(self.with_result(lost), name)

    def test_key_seen_by_a_backend_server(self):
        seen = record("r9", authorization=f"Bearer {KEY}")
        name = "no backend server saw a caller's key"
        self.assert_broken(self.with_record(seen), name)

    def test_refusal_of_a_request_that_ran(self):
        name = "a refusal that says not run is true"
        self.assert_broken(self.with_record(record("refused")), name)

    def test_stop_that_failed(self):
        name = "graceful stops end with status 0"
        self.assert_broken(replace(GOOD, stop_statuses=(0, 1)), name)

    def test_request_class_without_a_completed_call(self):
        others = tuple(r for r in GOOD.results if r.kind is not CallKind.LOOKUP)
        name = "every request class completed some"
        self.assert_broken(replace(GOOD, results=others), name)


class TruncatedStreamTest(unittest.TestCase):
    HEAD = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )

    def attempt_with(self, *events):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(self.HEAD)
                for event in events:
                    connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))

        threading.Thread(target=serve, daemon=True).start()
        caller = ModelCaller(KEY)
        self.addCleanup(caller.close)
        body = {"model": "m", "messages": [{"role": "user", "content": "?"}]}
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        return caller.marking(body).attempt(address)

    def test_stream_without_its_end_is_truncated(self):
        chunk = {"choices": [{"index": 0, "delta": {"content": "a"}}]}
        event = f"data: {json.dumps(chunk)}\n\n".encode()
        self.assertTrue(self.attempt_with(event).truncated)
        self.assertTrue(self.attempt_with(event, b"").truncated)

    def test_stream_that_ends_with_an_error_event_is_not_truncated(self):
        error = {"message": "x", "verdict": "may_have_run", "code": "c"}
        event = f"data: {json.dumps({'error': error})}\n\n".encode()
        attempt = self.attempt_with(event)
        self.assertFalse(attempt.truncated)
        self.assertEqual(attempt.verdict, "may_have_run")


class PerformTest(unittest.TestCase):
    def perform(self, kind, *attempts):
        script = iter(attempts)
        call = Call(kind, "", lambda address: next(script))
        return perform(call, lambda last: ENTRY)

    def test_call_is_retried_after_a_broken_connection(self):
        finished = self.perform(CallKind.MARKING, Attempt(ENTRY), Attempt(ENTRY, True))
        self.assertIs(finished.outcome, CallOutcome.COMPLETED)
        self.assertEqual(len(finished.attempts), 2)

    def test_booking_of_unknown_outcome_is_not_retried(self):
        unknown = Attempt(ENTRY, verdict="may_have_run", code="outcome_unknown")
        finished = self.perform(CallKind.BOOKING, unknown)
        self.assertIs(finished.outcome, CallOutcome.MAY_HAVE_RUN)

    def test_final_refusal_ends_the_call(self):
        refused = Attempt(ENTRY, verdict="not_run", code="invalid_api_key")
        finished = self.perform(CallKind.CHECK, refused)
        self.assertIs(finished.outcome, CallOutcome.REFUSED)


if __name__ == "__main__":
    unittest.main()
