"""The base class and helpers of the tests with real processes."""

import itertools
import json
import pathlib
import shutil
import time
import unittest

import urllib3

from cassiaford.config import (
    Customer,
    Model,
    PutCustomer,
    PutKey,
    PutModel,
    PutRoute,
    Route,
    issue_key,
)
from standins.answers import expected_completion
from standins.cluster import Cluster, Layout

HANG_TIMEOUT_S = 60.0
MODEL = "binder-7b"
WITHDRAWAL_BOUND_S = 5.0
LEAVING_BOUND_S = 5.0
SMALL_RATE_TOKENS_PER_S = 100.0
SMALL_BURST_TOKENS = 2000.0
STREAM_TOKENS = 60
# The process logs of each failed test are copied to this directory.
FAILED_TESTS = pathlib.Path("bench-results", "failed-tests")


class ProcessCase(unittest.TestCase):
    """A test case with an installation of real processes and methods to call it."""

    engines = 2
    engine_options = ("--token-interval-s", "0.02")
    order_settings = {}

    def setUp(self):
        layout = Layout(
            instances=3,
            engines=self.engines,
            engine_options=self.engine_options,
            settings={
                "limits": {"lookup_max_age_s": 0.5},
                "orders": self.order_settings,
            },
        )
        self.cluster = self.enterContext(Cluster(layout))
        self.http = urllib3.PoolManager(
            retries=False, maxsize=32, timeout=urllib3.Timeout(HANG_TIMEOUT_S)
        )
        self.key = issue_key("academy")
        self.small_key = issue_key("small")
        self.cluster.start_platform()
        self.cluster.apply(
            (
                PutModel(Model(MODEL, "v1", 200)),
                PutCustomer(Customer("academy", 1e6, 1e7, (MODEL,))),
                PutCustomer(
                    Customer(
                        "small", SMALL_RATE_TOKENS_PER_S, SMALL_BURST_TOKENS, (MODEL,)
                    )
                ),
                PutKey(self.key.entry),
                PutKey(self.small_key.entry),
                PutRoute(
                    Route("/bookings", "academy", methods=("POST",), repeatable=False)
                ),
                PutRoute(Route("/lookup", "academy", open_to_all=True)),
                *self.cluster.server_changes(),
            )
        )
        self.cluster.start_instances()
        self.names = list(self.cluster.instances)

    def _callTestMethod(self, method):  # noqa: N802
        # Clean-up functions can't tell whether the test failed, so check here.
        passed = False
        try:
            super()._callTestMethod(method)
            passed = self._outcome.success
        finally:
            if not passed:
                self.keep_logs()

    def keep_logs(self):
        target = FAILED_TESTS / f"{self.id()}-{time.time_ns()}"
        target.mkdir(parents=True)
        for log in self.cluster.directory.glob("*.log"):
            shutil.copy(log, target)
        print(f"logs kept in {target}")

    def address(self, name):
        return self.cluster.instances[name].http

    def send(self, name, path, body, key=None, **headers):
        """Return the response to a POST request, None if the connection failed."""
        headers["Authorization"] = f"Bearer {key or self.key.text}"
        url = f"http://{self.address(name)}{path}"
        try:
            return self.http.request("POST", url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None

    def chat(self, name, question, tokens=STREAM_TOKENS, stream=True, key=None):
        body = {**chat_request(question, tokens), "stream": stream}
        return self.send(name, "/v1/chat/completions", json.dumps(body), key)

    def book(self, name, idempotency_key):
        headers = {"Idempotency-Key": idempotency_key}
        return self.send(name, "/bookings", b'{"seat": 1}', **headers)

    def booked_keys(self):
        """Return the idempotency key of each booking that a service ran."""
        return [
            record.idempotency_key
            for name in self.cluster.service_names
            for record in self.cluster.run_records()[name]
            if record.started and record.idempotency_key
        ]

    def set_faults(self, **faults):
        self.cluster.group.control("key_value", "/control/faults", faults)

    def wait_until(self, condition, bound_s=HANG_TIMEOUT_S):
        deadline = time.monotonic() + bound_s
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def book_until_resolved(self, idempotency_key, names):
        """Retry a booking over the instances until its outcome is known.

        Return True if it succeeded, False if its outcome is final but unknown.
        """
        # A claim of a killed instance counts as in progress until the instance has
        # been missing from the instance list for longer than the list's lag.
        deadline = time.monotonic() + HANG_TIMEOUT_S
        for name in itertools.cycle(names):
            if time.monotonic() > deadline:
                break
            response = self.book(name, idempotency_key)
            if response is not None and response.status == 201:
                return True
            if response is not None and b"outcome_unknown" in response.data:
                return False
            time.sleep(0.05)
        raise AssertionError("the booking had no final outcome in time")

    def look_up_entry(self):
        """Return the first instance that the lookup names for the customer."""
        for name in self.names:
            url = f"http://{self.address(name)}/cassiaford/v1/entries"
            try:
                response = self.http.request("GET", url, fields={"customer": "academy"})
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200 and response.json()["entries"]:
                return response.json()["entries"][0]["instance"]
        raise AssertionError("no instance responded to the lookup")


def stream_text(stream):
    """Return the generated text of a stream of server-sent events."""
    text = ""
    for line in stream.decode().split("\n\n"):
        if line.startswith("data: {"):
            choices = json.loads(line[len("data: ") :])["choices"]
            text += "".join(c["delta"].get("content") or "" for c in choices)
    return text


def classify_response(response, expected):
    """Return a short text that tells how a call ended: an error code or a state."""
    if response is None:
        return "connection failed"
    if response.status != 200:
        return json.loads(response.data)["error"]["code"]
    return "complete" if stream_text(response.data) == expected else "incomplete"


def chat_request(question, tokens):
    message = {"role": "user", "content": question}
    # Only a deterministic stream can be resumed on another engine.
    return {
        "model": MODEL,
        "messages": [message],
        "max_tokens": tokens,
        "temperature": 0,
    }


def expected_text(question, tokens=STREAM_TOKENS):
    return expected_completion(chat_request(question, tokens))
