"""Tests of the handling of requests that crash the servers that run them."""

import random
import threading
import time
import unittest
from dataclasses import replace

from cassiaford.engines import LoadReport
from cassiaford.fleet import create_suspect_registry
from cassiaford.fleet._suspects import decode_suspect_message, encode_suspect_message
from cassiaford.instance._crashes import CrashMonitor
from cassiaford.pipeline import SuspectPolicy
from cassiaford.suspects import (
    AnsweredParts,
    Crash,
    CrashReport,
    RefusedParts,
    SuspectTracker,
    servers_for_suspects,
)
from cassiaford.timeline import HybridClock, Journal
from cassiaford.verdict import Refusal, RefusalReason, Verdict
from tests.dispatcher_case import DispatcherCase
from tests.fakes import full_stream, model_request, service_request, token_event
from tests.fakes_peers import FakeTransport

SCHEDULES = 200
FATAL = "fatal"


class FatalRequestSchedule:
    """One fatal request among harmless ones, over several instances.

    Reports of a crash reach the other instances in any order and twice. The
    fatal request is sent again after each failure, through any instance;
    suspects never run beside each other.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.trackers = [SuspectTracker() for _ in range(4)]
        self.crashes = 0

    def run(self):
        for attempt in range(8):
            tracker = self.rng.choice(self.trackers)
            if tracker.is_refused(FATAL, float(attempt)):
                continue
            concurrent = [f"innocent-{n}" for n in self.rng.sample(range(30), 5)]
            concurrent = [
                f for f in concurrent if not self.is_suspect_anywhere(f, attempt)
            ]
            self.crash(tracker, (*concurrent, FATAL), float(attempt))
            self.complete(concurrent, float(attempt))

    def is_suspect_anywhere(self, fingerprint, attempt):
        return any(t.is_suspect(fingerprint, float(attempt)) for t in self.trackers)

    def crash(self, observer, fingerprints, now):
        self.crashes += 1
        crash = Crash(f"engine-{self.crashes}", "1")
        observer.record_crash(crash, fingerprints, now)
        deliveries = [tracker for tracker in self.trackers for _ in range(2)]
        self.rng.shuffle(deliveries)
        for tracker in deliveries:
            tracker.record_crash(crash, fingerprints, now)

    def complete(self, fingerprints, now):
        for fingerprint in fingerprints:
            if self.rng.random() < 0.5:
                cleared = self.rng.choice(self.trackers).record_completion(
                    fingerprint, now
                )
                for tracker in self.trackers:
                    tracker.clear(cleared)


class SuspectTrackerTest(unittest.TestCase):
    def test_a_fatal_request_is_refused_after_two_crashes_and_no_other_is(self):
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                schedule = FatalRequestSchedule(seed)
                schedule.run()
                self.assertEqual(schedule.crashes, 2)
                for tracker in schedule.trackers:
                    names = list(tracker.suspicions)
                    refused = [f for f in names if tracker.is_refused(f, 8.0)]
                    self.assertEqual(refused, [FATAL])

    def test_a_request_that_met_all_crashes_of_a_fatal_one_is_not_refused(self):
        tracker = SuspectTracker(crashes_to_refuse=3, crashes_if_ambiguous=4)
        for number in range(3):
            tracker.record_crash(
                Crash(f"engine-{number}", "1"), (FATAL, "beside"), float(number)
            )
        self.assertFalse(tracker.is_refused(FATAL, 3.0))
        self.assertFalse(tracker.is_refused("beside", 3.0))
        tracker.record_completion("beside", 4.0)
        self.assertTrue(tracker.is_refused(FATAL, 5.0))

    def test_ambiguous_requests_are_refused_after_one_more_crash(self):
        tracker = SuspectTracker(crashes_to_refuse=3, crashes_if_ambiguous=4)
        for number in range(4):
            beside = ("beside",) if number < 3 else ()
            tracker.record_crash(
                Crash(f"engine-{number}", "1"), (FATAL, *beside), float(number)
            )
        self.assertTrue(tracker.is_refused(FATAL, 5.0))
        self.assertFalse(tracker.is_refused("beside", 5.0))

    def test_one_crash_seen_by_two_instances_counts_once(self):
        tracker = SuspectTracker()
        for _ in range(2):
            tracker.record_crash(Crash("engine-1", "5"), ("f",), 0.0)
        self.assertFalse(tracker.is_refused("f", 0.0))
        tracker.record_crash(Crash("engine-1", "6"), ("f",), 0.0)
        self.assertTrue(tracker.is_refused("f", 0.0))

    def test_a_crash_reported_after_its_clearance_is_ignored(self):
        first, second = SuspectTracker(), SuspectTracker()
        crash = Crash("engine-1", "1")
        first.record_crash(crash, ("f",), 0.0)
        second.clear(first.record_completion("f", 1.0))
        second.record_crash(crash, ("f",), 2.0)
        self.assertFalse(second.is_suspect("f", 2.0))

    def test_a_late_completion_does_not_lift_a_refusal(self):
        tracker = SuspectTracker()
        for server in ("engine-1", "engine-2"):
            tracker.record_crash(Crash(server, "1"), ("f",), 0.0)
        self.assertIsNone(tracker.record_completion("f", 1.0))
        self.assertTrue(tracker.is_refused("f", 1.0))
        self.assertFalse(tracker.is_refused("f", 3600.0))


class SuspectServersTest(unittest.TestCase):
    def test_servers_are_divided_among_instances_in_any_order(self):
        rng = random.Random(5)
        for _ in range(200):
            instances = [f"entry-{n}" for n in range(rng.randint(1, 12))]
            servers = [f"engine-{n}" for n in range(rng.randint(len(instances), 30))]
            parts = []
            for instance in tuple(instances):
                rng.shuffle(servers)
                rng.shuffle(instances)
                parts.append(servers_for_suspects(servers, instances, instance))
            self.assertEqual(sum(len(part) for part in parts), len(servers))
            self.assertEqual(frozenset().union(*parts), frozenset(servers))

    def test_every_instance_has_a_server_if_servers_are_few(self):
        instances = [f"entry-{n}" for n in range(7)]
        for instance in instances:
            part = servers_for_suspects(["engine-1", "engine-2"], instances, instance)
            self.assertEqual(len(part), 1)


class FakeSuspectPolicy(SuspectPolicy):
    """Avoids every server until requests are to be refused."""

    def __init__(self):
        self.avoid_all = True
        self.refused = threading.Event()

    def refusal(self, request):
        if self.refused.is_set():
            reason = RefusalReason.CRASHES_SERVERS
            return Refusal(reason, Verdict.MAY_HAVE_RUN, "crashed two servers")
        return None

    def record_crash(self, request, server):
        pass

    def servers_to_avoid(self, request, servers):
        return frozenset(servers if self.avoid_all else ())


class WaitingSuspectTest(DispatcherCase):
    def test_a_waiting_suspect_is_refused_once_its_second_crash_is_reported(self):
        # The suspect waits for a server that runs no other suspect. Meanwhile a
        # peer reports that its second run has crashed a server as well.
        server = self.serve(full_stream(token_event(0)))
        suspects = FakeSuspectPolicy()
        setup = self.dispatch(server, suspects=suspects)
        caller = setup.submit(model_request(1))
        time.sleep(0.1)
        suspects.refused.set()
        suspects.avoid_all = False
        setup.dispatcher.observe_load("engine-0", LoadReport("1", 0, 0, 0, ()))
        self.assertIn(b"request_crashes_servers", caller.read_response().body)
        outcome = setup.outcomes.get("r1")
        self.assertEqual(outcome.refusal.reason, RefusalReason.CRASHES_SERVERS)
        self.assertEqual(server.requests, [])


def conversation(*texts):
    """Return a model request with these texts as messages."""
    request = model_request(1)
    messages = [{"role": "user", "content": text} for text in texts]
    caller = replace(request.authenticated.caller, body=repr(texts).encode())
    return replace(
        request,
        authenticated=replace(request.authenticated, caller=caller),
        call=replace(request.call, body={**request.call.body, "messages": messages}),
    )


class SuspectMessageTest(unittest.TestCase):
    def test_messages_about_parts_are_encoded_whole(self):
        crash = Crash("engine-1", "7")
        messages = (
            CrashReport(crash, ("f",), (1, 2**63), (1,), 1.5),
            AnsweredParts((3, 4)),
            RefusedParts((5,)),
        )
        for message in messages:
            decoded = decode_suspect_message(encode_suspect_message(message))
            self.assertEqual(decoded, message)


class SuspectRegistryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = {}
        self.registries = []

    def tearDown(self):
        for registry in self.registries:
            registry.stop()
        for transport in self.fleet.values():
            transport.close()

    def registry(self, name):
        journal = Journal(name, 1, HybridClock(time.time), write=lambda *line: None)
        registry = create_suspect_registry(
            FakeTransport(name, self.fleet), journal, name
        )
        registry.start()
        self.registries.append(registry)
        return registry

    def wait_until(self, condition):
        deadline = time.monotonic() + 30.0
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)

    def test_two_crashes_through_two_instances_refuse_at_a_third(self):
        first, second, third = (self.registry(f"entry-{n}") for n in (1, 2, 3))
        self.fleet["entry-1"].lose = 2
        first.record_crash("engine-1", ("f", "g"), "1")
        second.record_crash("engine-2", ("f",), "1")
        self.wait_until(lambda: third.is_refused("f"))
        self.wait_until(lambda: third.is_suspect("g"))
        second.record_completion("g")
        self.wait_until(lambda: not third.is_suspect("g"))
        started_later = self.registry("entry-4")
        self.wait_until(lambda: started_later.is_refused("f"))

    def test_parts_of_prompts_that_crash_servers_are_refused_at_all_instances(self):
        first, second, third = (self.registry(f"entry-{n}") for n in (1, 2, 3))
        third.record_completion("earlier", (1, 2))
        first.record_crash("engine-1", ("f",), "1", (1, 99))
        time.sleep(0.06)
        second.record_crash("engine-2", ("g",), "1", (1, 2, 99))
        self.wait_until(lambda: len(first.tracker.parts.crashes.get(99, ())) == 2)
        time.sleep(0.06)
        first.record_crash("engine-3", ("h",), "1", (1, 99))
        for registry in (first, second, third):
            self.wait_until(lambda r=registry: r.is_refused("new", (1, 3, 99)))
            self.assertFalse(registry.is_refused("new", (1, 2)))
        started_later = self.registry("entry-4")
        self.wait_until(lambda: started_later.is_refused("new", (1, 99)))

    def test_a_model_call_is_known_by_its_messages_but_the_last(self):
        registry = self.registry("entry-1")
        monitor = CrashMonitor(registry)
        for number in range(3):
            request = conversation("a fatal text", f"question {number}")
            monitor.record_crash(request, f"engine-{number}")
            time.sleep(0.06)
        self.assertIsNotNone(monitor.refusal(conversation("a fatal text", "another")))
        self.assertIsNone(monitor.refusal(conversation("a sound text", "question 0")))

    def test_suspects_of_two_instances_use_different_servers_before_reports(self):
        # Two instances had a fatal request and a harmless stream on the server
        # that crashed, and send them again within the same millisecond.
        engines = tuple(f"engine-{n}" for n in range(1, 6))
        requests = (service_request(1, target="/fatal"), service_request(3))
        allowed = []
        registries = [self.registry("entry-1"), self.registry("entry-3")]
        for registry, request in zip(registries, requests, strict=True):
            watch = CrashMonitor(registry)
            watch.record_crash(request, "engine-5")
            allowed.append(set(engines) - watch.servers_to_avoid(request, engines))
        self.assertTrue(allowed[0] and allowed[1])
        self.assertEqual(allowed[0] & allowed[1], set())


if __name__ == "__main__":
    unittest.main()
