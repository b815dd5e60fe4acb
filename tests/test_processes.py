"""Tests with real processes: kills, pauses, outages and rolling replacements.

They check only what callers received and what backend servers recorded as run.
"""

import collections
import concurrent.futures
import dataclasses
import json
import threading
import time
import unittest

import urllib3

from cassiaford.config import PutServer, RemoveKey, ServerState
from tests.process_case import (
    HANG_TIMEOUT_S,
    LEAVING_BOUND_S,
    SMALL_BURST_TOKENS,
    SMALL_RATE_TOKENS_PER_S,
    WITHDRAWAL_BOUND_S,
    ProcessCase,
    classify_response,
    expected_text,
)


class ProcessesTest(ProcessCase):
    def test_streams_survive_a_killed_engine(self):
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            questions = [f"question {number}" for number in range(12)]
            futures = [
                pool.submit(self.chat, self.names[number % 3], question)
                for number, question in enumerate(questions)
            ]
            time.sleep(0.4)
            self.cluster.group.kill("engine-1")
            for question, future in zip(questions, futures, strict=True):
                response = future.result(HANG_TIMEOUT_S)
                with self.subTest(question=question):
                    self.assertEqual(
                        classify_response(response, expected_text(question)), "complete"
                    )
                    self.assertTrue(response.data.endswith(b"data: [DONE]\n\n"))

    def test_a_restart_serves_at_once_while_the_service_is_down(self):
        self.set_faults(down=True)
        name = self.names[0]
        self.cluster.kill_instance(name)
        self.cluster.launch_instance(name)
        self.cluster.group.wait_until_ready(name, self.address(name))
        self.assertEqual(self.chat(name, "after the restart").status, 200)

    def test_no_backend_server_sees_a_key(self):
        for name in self.names:
            self.assertEqual(self.chat(name, "hello").status, 200)
            self.assertEqual(self.book(name, f"key-{name}").status, 201)
        seen = json.dumps(
            [repr(records) for records in self.cluster.run_records().values()]
        )
        self.assertIn("key-entry-1", seen)
        secret = self.key.text.split("-", 2)[2]
        self.assertNotIn(secret, seen)

    def test_a_withdrawn_key_stops_on_a_kept_connection(self):
        pool = urllib3.HTTPConnectionPool(self.address(self.names[0]), maxsize=1)
        headers = {"Authorization": f"Bearer {self.key.text}"}

        def status():
            return pool.request("GET", "/v1/models", headers=headers).status

        self.assertEqual(status(), 200)
        self.cluster.apply((RemoveKey(self.key.entry.key_id),))
        stopped = self.wait_until(lambda: status() == 401, WITHDRAWAL_BOUND_S)
        self.assertTrue(stopped, "the key still works")
        self.assertEqual(pool.num_connections, 1)

    def test_rates_hold_over_a_pause(self):
        started_at = time.monotonic()
        used_tokens = []

        def spend(name):
            while time.monotonic() < started_at + 6:
                key = self.small_key.text
                response = self.chat(name, "x", tokens=20, stream=False, key=key)
                if response is not None and response.status == 200:
                    used_tokens.append(
                        json.loads(response.data)["usage"]["total_tokens"]
                    )

        callers = [threading.Thread(target=spend, args=(n,)) for n in self.names]
        for caller in callers:
            caller.start()
        time.sleep(1)
        self.cluster.group.pause(self.names[1])
        time.sleep(3.5)
        self.cluster.group.resume(self.names[1])
        for caller in callers:
            caller.join(HANG_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_at
        self.assertTrue(used_tokens)
        self.assertLessEqual(
            sum(used_tokens), SMALL_BURST_TOKENS + SMALL_RATE_TOKENS_PER_S * elapsed_s
        )

    def test_not_run_is_true_in_an_outage(self):
        self.set_faults(down=True)
        for name in self.names:
            response = self.book(name, "never")
            self.assertEqual(response.status, 503)
            error = json.loads(response.data)["error"]
            self.assertEqual(error["verdict"], "not_run")
            self.assertIn("Retry-After", response.headers)
            # A request that may be repeated is still served.
            self.assertEqual(self.chat(name, "hello").status, 200)
        self.assertEqual(self.booked_keys(), [])
        self.set_faults(down=False)
        booked = self.wait_until(lambda: self.book(self.names[0], "never").status < 300)
        self.assertTrue(booked)
        self.assertEqual(self.booked_keys(), ["never"])

    def test_a_booking_runs_once_over_a_killed_instance(self):
        keys = [f"booking-{number}" for number in range(30)]
        with concurrent.futures.ThreadPoolExecutor(len(keys)) as pool:
            futures = [
                pool.submit(self.book_until_resolved, key, self.names) for key in keys
            ]
            time.sleep(0.02)
            self.cluster.kill_instance(self.names[0])
            completed = [future.result(HANG_TIMEOUT_S) for future in futures]
        runs = self.booked_keys()
        self.assertEqual(len(runs), len(set(runs)))
        for key, done in zip(keys, completed, strict=True):
            self.assertTrue(key in runs or not done, key)

    def test_a_booking_runs_once_over_a_paused_instance(self):
        name, *others = self.names
        keys = [f"booking-{number}" for number in range(10)]
        with concurrent.futures.ThreadPoolExecutor(2 * len(keys)) as pool:
            first = [pool.submit(self.book, name, key) for key in keys]
            self.cluster.group.pause(name)
            second = [
                pool.submit(self.book, others[number % 2], key)
                for number, key in enumerate(keys)
            ]
            time.sleep(5)
            self.cluster.group.resume(name)
            for future in (*first, *second):
                future.result(HANG_TIMEOUT_S)
        runs = self.booked_keys()
        self.assertEqual(len(runs), len(set(runs)))

    def test_a_leaving_server_gets_no_new_work(self):
        server = next(s for s in self.cluster.servers() if s.name == "engine-1")
        leaving = dataclasses.replace(server, state=ServerState.LEAVING)
        self.cluster.apply((PutServer(leaving),))
        time.sleep(LEAVING_BOUND_S)
        before = len(self.cluster.run_records()["engine-1"])
        for number in range(12):
            response = self.chat(self.names[number % 3], f"question {number}", 4)
            self.assertEqual(response.status, 200)
        self.assertEqual(len(self.cluster.run_records()["engine-1"]), before)
        self.assertGreaterEqual(len(self.cluster.run_records()["engine-2"]), 12)

    def test_a_rolling_replacement_cuts_and_refuses_nothing(self):
        stop = threading.Event()
        results = []

        def call():
            number = 0
            while not stop.is_set():
                number += 1
                question = f"{threading.get_ident()} {number}"
                address = self.look_up_entry()
                response = self.chat(address, question, 10)
                results.append(classify_response(response, expected_text(question, 10)))

        callers = [threading.Thread(target=call) for _ in range(6)]
        for caller in callers:
            caller.start()
        try:
            for name in self.names:
                self.assertEqual(self.cluster.stop_instance(name, HANG_TIMEOUT_S), 0)
                self.cluster.launch_instance(name)
                self.cluster.group.wait_until_ready(name, self.address(name))
                time.sleep(1)
        finally:
            stop.set()
            for caller in callers:
                caller.join(HANG_TIMEOUT_S)
        self.assertEqual(collections.Counter(results).keys(), {"complete"})


class CrashingRequestTest(ProcessCase):
    engines = 5
    engine_options = ("--token-interval-s", "0.02", "--crash-marker", "FATAL")

    def test_a_fatal_request_crashes_two_servers_at_most(self):
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            innocent = [
                pool.submit(self.chat, self.names[number % 3], f"question {number}")
                for number in range(10)
            ]
            time.sleep(0.3)
            # The caller retries the request through each instance in turn.
            fatal = [self.chat(self.names[n % 3], "FATAL question") for n in range(6)]
            responses = [future.result(HANG_TIMEOUT_S) for future in innocent]
        alive = [name for name in self.cluster.group.running() if "engine" in name]
        self.assertGreaterEqual(len(alive), 3)
        self.assertEqual(classify_response(fatal[-1], ""), "request_crashes_servers")
        verdict = json.loads(fatal[-1].data)["error"]["verdict"]
        self.assertEqual(verdict, "may_have_run")
        for number, response in enumerate(responses):
            with self.subTest(number=number):
                self.assertEqual(
                    classify_response(response, expected_text(f"question {number}")),
                    "complete",
                )


if __name__ == "__main__":
    unittest.main()
