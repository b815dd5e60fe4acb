"""Tests of reports that arrive while an instance's event loop is busy."""

import asyncio
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
    PeerState,
    PeerTable,
    ServicePlacer,
)


class BacklogTest(unittest.IsolatedAsyncioTestCase):
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
            CrashMonitor(own.name, "suspects/", None, None, log),
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

    def send(self, name):
        state = PeerState(name, 1, "cluj", "10.0.0.1:80", "10.0.0.1:7600")
        report = Report(digest(name), incarnation=1, sequence=1, state=state)
        self.sender.send(encode_report(report))

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


if __name__ == "__main__":
    unittest.main()
