"""Tests of the filters before the dispatcher and of parsing model calls."""

import json
import time
import unittest

from cassiaford.config import (
    Configuration,
    Customer,
    Model,
    Route,
    issue_key,
)
from cassiaford.metrics import Metrics
from cassiaford.pipeline import (
    AdmitFilter,
    AuthenticateFilter,
    Header,
    Limiter,
    RawRequest,
    ReceiveFilter,
    ServiceClass,
    run_filters,
)
from cassiaford.pipeline._finalize import RequestFinalizer
from cassiaford.settings import LimitSettings
from cassiaford.timeline import HybridClock, Journal
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

ISSUED_KEY = issue_key("academy")
CONFIGURATION = Configuration(
    revision=3,
    customers={"academy": Customer("academy", 1000, 50_000, ("tare",))},
    keys={ISSUED_KEY.entry.key_id: ISSUED_KEY.entry},
    models={"tare": Model("tare", "v1", 100), "other": Model("other", "v1", 100)},
    routes={
        "/lookup": Route("/lookup", "shop", methods=("GET",), open_to_all=True),
        "/bookings": Route("/bookings", "shop", methods=("POST",), repeatable=False),
    },
)


class CountingLimiter(Limiter):
    """Grants every charge, or refuses all, and records them."""

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.charged = []

    def charge(self, customer, tokens):
        self.charged.append((customer.name, tokens))
        return self.refusal

    def refund(self, customer_name, tokens):
        self.charged.append((customer_name, -tokens))


def raw_request(path, body=b"", method="POST", key=ISSUED_KEY.text, headers=()):
    """Return an unprocessed request, with the API key unless it is empty."""
    given = [Header("authorization", f"Bearer {key}")] if key else []
    return RawRequest(method, path, (*given, *headers), 10.0, body)


def chat_body(**fields):
    """Return the body of a chat completion request."""
    document = {"model": "tare", "messages": [{"role": "user", "content": "Hello"}]}
    document.update(fields)
    return json.dumps(document).encode()


class IntakeTest(unittest.TestCase):
    def setUp(self):
        self.limiter = CountingLimiter()
        self.configuration = CONFIGURATION
        self.fresh = True

    def run_intake(self, request):
        filters = [
            ReceiveFilter(),
            AuthenticateFilter(lambda: self.configuration, lambda: self.fresh),
            AdmitFilter(lambda: self.configuration, self.limiter, LimitSettings()),
        ]
        return run_filters(filters, request)

    def assert_refused(self, request, reason):
        result = self.run_intake(request)
        self.assertIsInstance(result, Refusal)
        self.assertIs(result.reason, reason)
        self.assertIs(result.verdict, Verdict.NOT_RUN)

    def test_a_call_is_charged_for_prompt_and_permitted_output(self):
        admitted = self.run_intake(
            raw_request("/v1/chat/completions", chat_body(max_tokens=50))
        )
        self.assertEqual(admitted.charged_tokens, admitted.call.prompt_tokens + 50)
        self.assertEqual(self.limiter.charged, [("academy", admitted.charged_tokens)])

    def test_output_is_bounded_by_what_was_charged(self):
        admitted = self.run_intake(raw_request("/v1/chat/completions", chat_body()))
        self.assertEqual(admitted.call.body["max_tokens"], 100)
        admitted = self.run_intake(
            raw_request("/v1/chat/completions", chat_body(max_tokens=9999, n=2))
        )
        self.assertEqual(admitted.call.body["max_tokens"], 100)
        self.assertEqual(admitted.call.max_output, 200)

    def test_service_classes(self):
        quick = self.run_intake(
            raw_request("/v1/chat/completions", chat_body(max_tokens=1))
        )
        batch = self.run_intake(
            raw_request("/v1/chat/completions", chat_body(service_tier="flex"))
        )
        self.assertIs(quick.service_class, ServiceClass.INTERACTIVE)
        self.assertIs(batch.service_class, ServiceClass.BATCH)
        self.assertGreater(batch.deadline, quick.deadline)

    def test_secrets_are_removed_from_the_headers(self):
        headers = (Header("cookie", "a=b"), Header("x-cache-salt", "00"))
        request = raw_request("/bookings", b"{}", headers=headers)
        admitted = self.run_intake(request)
        self.assertEqual(admitted.authenticated.caller.headers, ())
        self.assertNotIn(ISSUED_KEY.text, repr(admitted))

    def test_keys(self):
        path = "/v1/chat/completions"
        self.assert_refused(
            raw_request(path, chat_body(), key=""), RefusalReason.MISSING_KEY
        )
        for key in ("cf-0-x", ISSUED_KEY.text + "x", "nonsense", "cf-\xff-\xff"):
            with self.subTest(key=key):
                self.assert_refused(
                    raw_request(path, chat_body(), key=key), RefusalReason.INVALID_KEY
                )

    def test_a_withdrawn_key_fails_on_the_next_request(self):
        self.run_intake(raw_request("/bookings", b"{}"))
        self.configuration = Configuration(
            revision=4, customers=CONFIGURATION.customers, routes=CONFIGURATION.routes
        )
        self.assert_refused(raw_request("/bookings", b"{}"), RefusalReason.INVALID_KEY)

    def test_a_stale_instance_serves_only_open_routes(self):
        self.fresh = False
        self.assert_refused(
            raw_request("/bookings", b"{}"), RefusalReason.CONFIGURATION_STALE
        )
        admitted = self.run_intake(raw_request("/lookup/1", method="GET", key=""))
        self.assertIsNone(admitted.authenticated.customer)
        self.assertEqual(self.limiter.charged, [])

    def test_bad_bodies(self):
        bodies = (
            b"",
            b"{",
            b"[]",
            b'"text"',
            b"\xff\xfe{}",
            b"[" * 100_000,
            b'{"model": "tare"}',
            b'{"model": "tare", "messages": []}',
            b'{"model": "tare", "messages": [1]}',
            b'{"messages": [{"role": "user", "content": "x"}]}',
            b'{"model": "tare", "prompt": NaN}',
            chat_body(stream="yes"),
            chat_body(max_tokens=0),
            chat_body(max_tokens=True),
            chat_body(n=1000),
        )
        for body in bodies:
            with self.subTest(body=body[:60]):
                self.assert_refused(
                    raw_request("/v1/chat/completions", body), RefusalReason.BAD_REQUEST
                )
        self.assertEqual(self.limiter.charged, [])

    def test_models_are_checked(self):
        path = "/v1/chat/completions"
        self.assert_refused(
            raw_request(path, chat_body(model="no")), RefusalReason.UNKNOWN_MODEL
        )
        self.assert_refused(
            raw_request(path, chat_body(model="other")),
            RefusalReason.MODEL_NOT_PERMITTED,
        )

    def test_routes_and_methods(self):
        self.assert_refused(raw_request("/nowhere"), RefusalReason.UNKNOWN_ROUTE)
        self.assert_refused(raw_request("/lookupx"), RefusalReason.UNKNOWN_ROUTE)
        self.assert_refused(
            raw_request("/bookings", method="GET"), RefusalReason.METHOD_NOT_ALLOWED
        )

    def test_an_open_route_cannot_bypass_authentication(self):
        paths = (
            "/lookup/../bookings",
            "/lookup/%2e%2e/bookings",
            "/lookup/%252e%252e/bookings",
            "/lookup%2f..%2fbookings",
            "/lookup//x",
            "/lookup/\\..\\bookings",
        )
        for path in paths:
            with self.subTest(path=path):
                self.assert_refused(
                    raw_request(path, method="GET", key=""), RefusalReason.BAD_REQUEST
                )

    def test_a_refused_charge_refuses_the_request(self):
        self.limiter.refusal = refuse(RefusalReason.RATE_LIMITED, "used up", 1.0)
        self.assert_refused(
            raw_request("/v1/chat/completions", chat_body()), RefusalReason.RATE_LIMITED
        )


class RefusalRecordTest(unittest.TestCase):
    def details_of(self, refusal):
        journal = Journal("entry-1", 1, HybridClock(time.time), write=lambda *_: None)
        settler = RequestFinalizer(
            CountingLimiter(), Metrics(), journal, lambda request: None
        )
        caller = ReceiveFilter().process(raw_request("/lookup"))
        settler.finalize_refused(caller, "academy", refusal)
        (record,) = journal.snapshot()
        return {detail.name: detail.value for detail in record.details}

    def test_a_refusal_is_recorded_with_its_retry_time(self):
        refusal = refuse(RefusalReason.RATE_LIMITED, "used up", 3.845760320666555)
        known = {"reason": "rate_limit_exceeded", "verdict": "not_run"}
        expected = known | {"retry_after_s": "3.846"}
        self.assertEqual(self.details_of(refusal), expected)

    def test_a_permanent_refusal_has_no_retry_time(self):
        details = self.details_of(refuse(RefusalReason.INVALID_KEY, "not granted"))
        self.assertEqual(set(details), {"reason", "verdict"})


class RouteTest(unittest.TestCase):
    def test_an_open_route_must_be_repeatable(self):
        with self.assertRaises(ValueError):
            Route("/x", "shop", repeatable=False, open_to_all=True)


if __name__ == "__main__":
    unittest.main()
