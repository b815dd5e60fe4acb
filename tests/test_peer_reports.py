"""Tests of the reports that an instance receives over its socket."""

import asyncio
import random
import socket
import unittest

from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._peer_codec import Report, encode_report
from cassiaford.gateway._peers import PeerReports
from cassiaford.gateway._view import digest
from cassiaford.gateway.policy import (
    EnginePlacer,
    FleetRates,
    Limit,
    PeerState,
    PeerTable,
    ServicePlacer,
)


class ReportsCase(unittest.IsolatedAsyncioTestCase):
    """An instance that listens for reports, and a socket that sends them."""

    async def asyncSetUp(self):
        log = EventLog("entry-own", 1)
        log.write = lambda event, **details: None
        own = PeerState("entry-own", 1, "cluj", "127.0.0.1:1", "127.0.0.1:1")
        self.table = PeerTable()
        self.reports = PeerReports(
            own,
            self.table,
            EnginePlacer(),
            ServicePlacer(),
            FleetRates(),
            CrashMonitor(own.name, "suspects/", None, None, random.Random(1), log),
            log,
        )
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self.reports, local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(self.transport.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)
        self.sender.connect(self.transport.get_extra_info("sockname"))

    def send(self, name, sequence=1, whole=True, spending=None):
        state = PeerState(name, 1, "cluj", "10.0.0.1:80", "10.0.0.1:7600")
        report = Report(
            digest(name),
            incarnation=1,
            sequence=sequence,
            state=state if whole else None,
            spending={digest(n): t for n, t in (spending or {}).items()},
        )
        self.sender.send(encode_report(report))


class BacklogTest(ReportsCase):
    async def test_reports_that_waited_are_applied_before_other_work(self):
        names = {f"entry-{n}" for n in range(69)}
        for name in names:
            self.send(name)
        # With one report an iteration, a busy instance would place and charge for
        # as many iterations by what its peers told before.
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(set(self.table.expected()), names)

    async def test_a_malformed_report_does_not_hide_those_behind_it(self):
        self.sender.send(b"\xff" * 9)
        self.send("entry-1")
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.table.expected(), ["entry-1"])


class SpendingTest(ReportsCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        now = asyncio.get_running_loop().time()
        # So little that nothing comes in while the test runs, however long.
        self.reports.rates.window_s = 1e9
        limit = Limit(0.001, 40_000.0)
        self.reports.rates.configure({"academy": limit}, now)
        self.reports.set_customers(["academy"])
        self.bucket = self.reports.rates.buckets["academy"]
        self.initial = self.bucket.level

    async def receive(self, *reports):
        for sequence, (whole, spending) in enumerate(reports, start=1):
            self.send("entry-1", sequence, whole, spending)
        for _ in range(3):
            await asyncio.sleep(0)

    async def test_the_first_spending_that_a_peer_reports_is_counted(self):
        await self.receive((True, {}), (False, {"academy": 1500}))
        self.assertAlmostEqual(self.bucket.level, self.initial - 1500, delta=1.0)

    async def test_what_a_peer_spent_before_it_was_heard_is_not_counted(self):
        await self.receive(
            (True, {"academy": 9000}), (False, {}), (False, {"academy": 9500})
        )
        self.assertAlmostEqual(self.bucket.level, self.initial - 500, delta=1.0)

    async def test_a_report_of_changes_says_nothing_of_other_customers(self):
        rates, limits = self.reports.rates, {"academy": self.bucket.limit}
        now = asyncio.get_running_loop().time()
        rates.buckets.clear()
        rates.configured = False
        await self.receive((True, {"academy": 9000}))
        rates.configure(limits, now)
        bucket = rates.buckets["academy"]
        initial = bucket.level
        await self.receive((False, {}), (False, {}), (False, {"academy": 9500}))
        self.assertAlmostEqual(bucket.level, initial, delta=1.0)


if __name__ == "__main__":
    unittest.main()
