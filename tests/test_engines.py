"""Tests of the stand-in engine, the control calls and the polling of engines."""

import http.client
import json
import threading
import time
import unittest

from cassiaford.config import BackendServer, Configuration, ServerState
from cassiaford.engines import (
    BLOCK_BYTES,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineControl,
    EngineError,
    EngineObserver,
    LoadReport,
    Order,
    OrderAction,
    create_engine_control,
    create_poller,
)
from cassiaford.timeline import HybridClock, Journal
from standins.answers import expected_completion
from standins.processes import ProcessGroup, free_address

WAIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01


def completion(prompt="hello", output=4, **more):
    return {"model": "m", "prompt": prompt, "max_tokens": output} | more


def wait_until(condition):
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("the condition did not hold in time")
        time.sleep(0.005)


class EngineStandInTest(unittest.TestCase):
    def setUp(self):
        self.group = ProcessGroup()
        self.addCleanup(self.group.end_all)
        self.control = create_engine_control(5.0)
        self.addCleanup(self.control.close)

    def start(self, *options):
        self.address = self.group.start_stand_in(
            "engine", "--model", "m=v1", "--token-interval-s", "0.005", *options
        )

    def connect(self):
        connection = http.client.HTTPConnection(self.address, timeout=WAIT_TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def post(self, body, connection=None, **headers):
        connection = connection or self.connect()
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request("POST", "/v1/completions", json.dumps(body), names)
        return connection.getresponse()

    def text_of(self, events):
        chunks = [
            json.loads(line.removeprefix(b"data: "))
            for line in events.split(b"\n\n")
            if line.startswith(b"data: {")
        ]
        return "".join(c["text"] for chunk in chunks for c in chunk["choices"])

    def test_stream_and_plain_response_have_the_same_text(self):
        self.start()
        streamed = self.post(completion(stream=True)).read()
        plain = json.loads(self.post(completion()).read())
        expected = expected_completion(completion())
        self.assertEqual(self.text_of(streamed), expected)
        self.assertTrue(streamed.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(plain["choices"][0]["text"], expected)

    def test_prefix_is_cached_within_one_salt_only(self):
        self.start()
        body = completion("x" * (2 * BLOCK_BYTES + 10))
        salts = ["000000000000000a", "000000000000000a", "000000000000000b"]
        cached = []
        for salt in salts:
            usage = json.loads(self.post(body, X_Cache_Salt=salt).read())["usage"]
            cached.append(usage["prompt_tokens_details"]["cached_tokens"])
        self.assertEqual(cached, [0, 2048, 0])

    def test_broken_stream_resumes_at_its_offset(self):
        self.start()
        body = completion(output=100, stream=True)
        broken = self.connect()
        response = self.post(body, broken, X_Request_Id="r1")
        received = response.readline() + response.readline()
        broken.close()
        response.close()
        resumed = self.post(body, X_Request_Id="r1", X_Resume_Offset="1")
        # Without the header, the response would be taken to start at the beginning.
        self.assertEqual(resumed.getheader("X-Resume-Offset"), "1")
        rest = resumed.read()
        self.assertEqual(self.text_of(received + rest), expected_completion(body))
        self.assertEqual(len(self.group.control("engine", "/control/runs")), 1)
        unknown = self.post(body, X_Request_Id="r2", X_Resume_Offset="1")
        self.assertEqual(unknown.status, 404)

    def test_request_identifier_runs_once(self):
        self.start()
        self.post(completion(), X_Request_Id="r1").read()
        again = self.post(completion(), X_Request_Id="r1")
        self.assertEqual(again.status, 409)
        self.assertIsNone(again.getheader("X-Not-Started"))

    def test_refused_requests_are_not_among_the_runs(self):
        self.start("--slots", "1", "--queue-length", "0")
        self.post(completion(output=1000, stream=True), X_Request_Id="r1")
        refused = self.post(completion(), X_Request_Id="r2")
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.getheader("X-Not-Started"), "true")
        broken = self.post(["not", "an", "object"], X_Request_Id="r3")
        self.assertEqual(broken.status, 400)
        self.assertEqual(broken.getheader("X-Not-Started"), "true")
        runs = self.group.control("engine", "/control/runs")
        self.assertEqual([run["request_id"] for run in runs], ["r1"])

    def test_cancelled_request_stops(self):
        self.start()
        response = self.post(completion(output=5000, stream=True), X_Request_Id="r1")
        response.readline()
        self.control.cancel(self.address, "r1")
        self.control.cancel(self.address, "never seen")
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            response.read()
        wait_until(lambda: self.control.load(self.address).running == 0)

    def test_silent_connection_stays_open_while_a_new_one_works(self):
        self.start()
        body = completion(output=50, stream=True)
        silent = self.post(body, X_Request_Id="r1")
        received = silent.readline() + silent.readline()
        self.assertGreater(
            self.group.control("engine", "/control/silence", {})["silenced"], 0
        )
        rest = self.post(body, X_Request_Id="r1", X_Resume_Offset="1").read()
        self.assertEqual(self.text_of(received + rest), expected_completion(body))

    def test_marked_prompt_crashes_the_process(self):
        self.start("--crash-marker", "POISON")
        with self.assertRaises((http.client.HTTPException, ConnectionError)):
            self.post(completion("a POISON prompt"))
        self.assertNotEqual(self.group.processes["engine"].wait(WAIT_TIMEOUT_S), 0)

    def test_order_with_an_old_fencing_number_is_refused_if_checked(self):
        store = self.group.start_stand_in("weight_store", "--load-s", "0.05")
        self.start("--check-fencing", "--weight-store", store)
        order = Order("o1", 7, OrderAction.LOAD_MODEL, "m", "v2")
        self.assertTrue(self.control.order(self.address, order).accepted)
        stale = Order("o2", 6, OrderAction.LOAD_MODEL, "m", "v0")
        self.assertFalse(self.control.order(self.address, stale).accepted)
        wait_until(lambda: self.control.load(self.address).models == (("m", "v2"),))

    def test_cache_events_report_stored_and_evicted_blocks(self):
        self.start("--cache-blocks", "1", "--event-lag-s", "0", "--event-loss", "0")
        self.post(completion("x" * BLOCK_BYTES)).read()
        self.post(completion("y" * BLOCK_BYTES)).read()
        report = self.control.cache_events(self.address, 0)
        kinds = [event.kind.value for event in report.events]
        self.assertEqual(kinds, ["stored", "stored", "evicted"])
        self.assertEqual(report.events[0].block, report.events[2].block)
        self.assertFalse(report.gap)
        self.assertEqual(self.control.cache_events(self.address, 3).events, ())

    def test_lost_events_leave_a_gap(self):
        self.start("--event-lag-s", "0", "--event-loss", "1")
        self.post(completion("x" * BLOCK_BYTES)).read()
        report = self.control.cache_events(self.address, 0)
        self.assertEqual((report.events, report.gap), ((), True))

    def test_unreachable_engine_is_an_engine_error(self):
        with self.assertRaises(EngineError):
            self.control.load(free_address())


class ScriptedControl(EngineControl):
    """Engines whose incarnations a test sets; those in `hanging` do not respond."""

    def __init__(self):
        self.incarnations = {}
        self.hanging = set()
        self.released = threading.Event()
        self.requested = []

    def load(self, address):
        if address in self.hanging:
            self.released.wait(WAIT_TIMEOUT_S)
            raise EngineError("timeout")
        return LoadReport(self.incarnations.get(address, "first"), 0, 0, 0, ())

    def cache_events(self, address, after):
        self.requested.append((address, after))
        event = CacheEvent(after + 1, CacheEventKind.STORED, 5)
        incarnation = self.incarnations.get(address, "first")
        return CacheEvents(incarnation, (event,), after + 2, False)

    def order(self, address, order):
        raise NotImplementedError

    def cancel(self, address, request_id):
        raise NotImplementedError


class RecordingObserver(EngineObserver):
    def __init__(self):
        self.loads = []
        self.sequences = []
        self.discarded = []

    def observe_load(self, server, report):
        self.loads.append(server)

    def observe_events(self, server, events):
        self.sequences.append((server, events.events[0].sequence))

    def remove_server(self, server):
        self.discarded.append(server)


class EnginePollerTest(unittest.TestCase):
    def setUp(self):
        self.control = ScriptedControl()
        self.observer = RecordingObserver()
        self.configuration = Configuration()
        clock = HybridClock(time.time)
        self.journal = Journal("i", 1, clock, write=lambda *line: None)

    def poll(self, *names, **changes):
        self.configure(*names, **changes)
        poller = create_poller(
            lambda: self.configuration,
            self.control,
            self.observer,
            self.journal,
            POLL_INTERVAL_S,
        )
        poller.start()
        self.addCleanup(poller.stop)
        self.addCleanup(self.control.released.set)

    def configure(self, *names, **changes):
        servers = {
            name: BackendServer(name, f"127.0.0.1:{index + 1}", "dc", **changes)
            for index, name in enumerate(names)
        }
        self.configuration = Configuration(servers=servers)

    def events(self):
        return [record.event.name for record in self.journal.snapshot()]

    def test_events_are_requested_after_the_last_received_one(self):
        self.poll("a")
        wait_until(lambda: len(self.observer.sequences) >= 3)
        sequences = [sequence for _, sequence in self.observer.sequences[:3]]
        self.assertEqual(sequences, [1, 2, 3])

    def test_hanging_engines_do_not_delay_the_others(self):
        names = [f"e{index}" for index in range(12)]
        self.control.hanging = {f"127.0.0.1:{index + 1}" for index in range(10)}
        self.poll(*names)
        wait_until(lambda: self.observer.loads.count("e11") >= 5)
        self.assertFalse(self.control.released.is_set())
        self.assertEqual(set(self.observer.loads), {"e10", "e11"})

    def test_engines_that_failed_once_cannot_block_the_threads_of_others(self):
        self.control.hanging = {f"127.0.0.1:{index + 1}" for index in range(20)}
        names = [f"e{index}" for index in range(21)]
        self.poll(*names)
        # The first calls fail, and later ones hang again.
        self.control.released.set()
        wait_until(lambda: self.events().count("ENGINE_UNREACHABLE") == 20)
        self.control.released.clear()
        seen = len(self.observer.loads)
        wait_until(lambda: len(self.observer.loads) >= seen + 2)
        self.assertFalse(self.control.released.is_set())

    def test_state_of_a_restarted_engine_is_discarded_and_read_again(self):
        self.poll("a")
        wait_until(lambda: len(self.observer.sequences) >= 3)
        self.control.incarnations["127.0.0.1:1"] = "second"
        wait_until(lambda: self.observer.discarded == ["a"])
        count = len(self.observer.sequences)
        wait_until(lambda: len(self.observer.sequences) >= count + 1)
        self.assertIn(("a", 1), self.observer.sequences[1:])
        self.assertIn("ENGINE_RESTARTED", self.events())

    def test_state_of_an_engine_that_leaves_is_discarded_once(self):
        self.poll("a", "b")
        wait_until(lambda: {"a", "b"} <= set(self.observer.loads))
        self.configure("a", "b", state=ServerState.LEAVING)
        wait_until(lambda: sorted(self.observer.discarded) == ["a", "b"])
        count = len(self.observer.loads)
        time.sleep(5 * POLL_INTERVAL_S)
        self.assertEqual(len(self.observer.loads), count)
        self.assertEqual(sorted(self.observer.discarded), ["a", "b"])

    def test_engine_that_moved_is_polled_at_its_new_address(self):
        self.poll("a")
        wait_until(lambda: len(self.observer.sequences) >= 2)
        self.configure("other", "a")
        wait_until(lambda: self.observer.discarded == ["a"])
        wait_until(lambda: ("127.0.0.1:2", 0) in self.control.requested)

    def test_exception_in_the_observer_does_not_end_the_polling(self):
        def fail(server, report):
            self.observer.loads.append(server)
            raise RuntimeError("fault")

        self.observer.observe_load = fail
        self.poll("a")
        wait_until(lambda: len(self.observer.loads) >= 3)
        self.assertIn("BACKGROUND_TASK_FAILED", self.events())


if __name__ == "__main__":
    unittest.main()
