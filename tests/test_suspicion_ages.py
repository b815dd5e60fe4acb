"""Tests of the end of suspicions that instances learned of at different times."""

import asyncio
import random
import time
import unittest

from cassiaford.fleet import create_suspect_registry
from cassiaford.gateway._crashes import CRASHES_TO_REFUSE, CrashMonitor
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._mirror import Mirror, MirrorSync, Section
from cassiaford.gateway._peer_codec import server_crash
from cassiaford.gateway._store import Change
from cassiaford.suspects import Crash, CrashReport, SuspectTracker
from cassiaford.suspects._tracker import SUSPICION_TTL_S
from cassiaford.timeline import HybridClock, Journal
from tests.fakes_peers import FakeTransport
from tests.fakes_shared_store import FakeSharedStore
from tests.virtual_time import run_in_virtual_time

FATAL = "f" * 32
PREFIX = "cassiaford/suspects/"
REPORT_INTERVAL_S = 1.0
REPORT_DELAY_S = 0.05
# A suspicion may end this much late, since reports take a while.
TOLERANCE_S = 5.0


class TrackerTest(unittest.TestCase):
    def refused_after(self, ages_s):
        """Return whether a request is refused after crashes of some ages."""
        tracker = SuspectTracker(crashes_to_refuse=len(ages_s))
        for number, age_s in enumerate(ages_s):
            crash = Crash(f"engine-{number}", "1")
            tracker.apply(CrashReport(crash, ("f",), age_s=age_s), 10_000.0)
        return tracker.is_refused("f", 10_000.0)

    def test_a_crash_counts_from_when_it_happened(self):
        self.assertTrue(self.refused_after((5.0, SUSPICION_TTL_S - 1.0)))
        self.assertFalse(self.refused_after((SUSPICION_TTL_S, SUSPICION_TTL_S + 1)))

    def test_a_suspicion_that_ended_is_not_brought_back_by_a_late_report(self):
        tracker = SuspectTracker()
        report = CrashReport(Crash("engine-1", "1"), ("f",))
        tracker.apply(report, 0.0)
        self.assertFalse(tracker.is_suspect("f", SUSPICION_TTL_S))
        tracker.apply(report, SUSPICION_TTL_S)
        self.assertFalse(tracker.is_suspect("f", SUSPICION_TTL_S))


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.fleet = {}

    def start(self, name):
        """Start an instance that asks the others for what they know."""
        journal = Journal(name, 1, HybridClock(time.time), write=lambda *line: None)
        transport = FakeTransport(name, self.fleet)
        registry = create_suspect_registry(transport, journal, name, lambda: self.now)
        self.addCleanup(transport.close)
        self.addCleanup(registry.stop)
        registry.start()
        return registry

    def wait_until(self, condition):
        """Wait for the registries' threads."""
        deadline = time.monotonic() + 30.0
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)

    def test_an_instance_that_starts_later_does_not_refuse_for_longer(self):
        first = self.start("entry-1")
        for server in ("engine-1", "engine-2"):
            first.record_crash(server, ("f",), "1")
        self.now = SUSPICION_TTL_S - 100.0
        second = self.start("entry-2")
        self.wait_until(lambda: second.is_refused("f"))
        self.now = SUSPICION_TTL_S + TOLERANCE_S
        self.assertFalse(first.is_refused("f"))
        self.assertFalse(second.is_refused("f"))


class MonitorCase(unittest.TestCase):
    """Creates monitors of gateways in virtual time."""

    def monitor(self, name, store=None):
        """Return a gateway's monitor."""
        log = EventLog(name, 1)
        log.write = lambda event, **details: None
        client = (store or FakeSharedStore()).client()
        clock = asyncio.get_running_loop().time
        mirror = Mirror((Section(PREFIX),), None)
        rng = random.Random(name)
        sync = MirrorSync(mirror, client, rng, log, clock)
        return CrashMonitor(name, PREFIX, client, sync, rng, log)


class MonitorTest(MonitorCase):
    def crash(self, monitor):
        """Report crashes to a monitor until it refuses the request."""
        for server in range(CRASHES_TO_REFUSE):
            monitor.apply(CrashReport(server_crash(server), (FATAL,)))

    def is_refused(self, monitor):
        """Return whether a monitor refuses the request."""
        now = asyncio.get_running_loop().time()
        return monitor.tracker.is_refused(FATAL, now)

    async def report(self, monitors):
        """Exchange whole reports."""
        reports = [monitor.messages(whole=True) for monitor in monitors]
        await asyncio.sleep(REPORT_DELAY_S)
        for receiver, monitor in enumerate(monitors):
            for sender, report in enumerate(reports):
                for message in report if sender != receiver else ():
                    monitor.apply(message)
        await asyncio.sleep(REPORT_INTERVAL_S - REPORT_DELAY_S)

    def test_instances_do_not_renew_each_others_suspicions(self):
        async def run():
            first, second = self.monitor("entry-1"), self.monitor("entry-2")
            self.crash(first)
            await asyncio.sleep(SUSPICION_TTL_S / 2)
            loop = asyncio.get_running_loop()
            refused_until = [0.0, 0.0]
            while loop.time() < 2 * SUSPICION_TTL_S:
                await self.report((first, second))
                for number, monitor in enumerate((first, second)):
                    if self.is_refused(monitor):
                        refused_until[number] = loop.time()
            return refused_until

        for until in run_in_virtual_time(run()):
            self.assertGreater(until, SUSPICION_TTL_S - TOLERANCE_S)
            self.assertLess(until, SUSPICION_TTL_S + TOLERANCE_S)

    def test_a_record_that_is_written_again_does_not_renew_a_suspicion(self):
        async def run():
            store = FakeSharedStore()
            first = self.monitor("entry-1", store)
            writes = asyncio.create_task(first.run())
            self.crash(first)
            key = f"{PREFIX}{FATAL}/entry-1"
            await asyncio.sleep(SUSPICION_TTL_S / 2)
            first.apply_change(Change(key, 0, None))
            await asyncio.sleep(1.0)
            second = self.monitor("entry-2", store)
            second.apply_change(Change(key, 0, store.items[key]))
            refused = [self.is_refused(second)]
            await asyncio.sleep(SUSPICION_TTL_S / 2 + TOLERANCE_S)
            refused.append(self.is_refused(second))
            writes.cancel()
            return refused

        self.assertEqual(run_in_virtual_time(run()), [True, False])


if __name__ == "__main__":
    unittest.main()
