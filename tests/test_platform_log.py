"""Tests of the log lines of failed, refused and slow requests."""

import asyncio

from cassiaford.logs import Event
from cassiaford.suspects import request_fingerprint
from standins.platform_worker import Behaviour
from tests.platform_case import PlatformCase, configuration, route


class RequestLogTest(PlatformCase):
    async def start(self, service, **fields):
        """Start a worker and a gateway, and collect the gateway's log lines."""
        mark = route("mark", "/mark/", "streaming", "engine") | fields
        book = route("book", "/book/", "unsafe", "desk")
        await self.store.put("op/config", configuration(Routes=[mark, book]))
        self.worker = await self.start_worker("i-0", service)
        gateway = await self.start_gateway()
        self.lines = []
        gateway.log.write = lambda event, **details: self.lines.append((event, details))
        # Lines of successful requests, which are sampled, are dropped.
        gateway.log.write_sampled = lambda event, **details: None
        return gateway

    def line(self, event):
        """Return the fields of the only line of an event."""
        (details,) = (d for logged, d in self.lines if logged is event)
        return details

    async def test_a_server_error_is_always_logged_with_its_context(self):
        gateway = await self.start("desk")
        self.worker.behaviours = [Behaviour.FAIL]
        response = await self.call(gateway, "/book/1")
        line = self.line(Event.REQUEST_COMPLETED)
        self.assertEqual((line["status"], line["server"]), (response.status, "i-0"))
        self.assertGreaterEqual(response.status, 500)
        self.assertLess(line["store_age_s"], 25.0)
        self.assertEqual((line["peers_live"], line["peers_expected"]), (0, 0))

    async def test_a_retry_is_logged_with_its_cause(self):
        gateway = await self.start("desk", Kind="safe", Service="desk")
        self.worker.behaviours = [Behaviour.FAIL]
        await self.start_worker("i-1", "desk")
        await self.wait_until(lambda: self._has_all_workers(gateway))
        while not self.worker.calls:
            await self.call(gateway, "/mark/1", method="GET", body=b"")
        line = self.line(Event.REQUEST_RETRIED)
        self.assertIn("an error of its own", line["cause"])
        self.assertEqual(
            line["fingerprint"], request_fingerprint("academy", "GET", "/mark/1", b"")
        )
        text = gateway._metrics_body("/metrics").decode()
        sends = 'cassiaford_server_sends_total{service="desk",kind="repeated"} 1'
        self.assertIn(sends, text)

    async def test_a_stream_that_paused_is_always_logged(self):
        gateway = await self.start("engine", GapAimMs=20)
        self.worker.pause_s = 0.05
        await self.call_engine(gateway, "/mark/1")
        line = self.line(Event.REQUEST_COMPLETED)
        self.assertTrue(line["late"])
        self.assertGreaterEqual(line["longest_pause_s"], 0.05)

    async def test_a_request_whose_caller_disconnected_may_have_run(self):
        gateway = await self.start("desk")
        self.worker.behaviours = [Behaviour.HANG]
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request("/book/1"))
        await self.wait_until(lambda: self.worker.ran)
        writer.close()
        await self.wait_until(lambda: self.lines)
        line = self.line(Event.CALLER_LEFT)
        self.assertEqual((line["verdict"], line["sends"]), ("may_have_run", 1))

    async def test_a_refusal_states_when_the_best_server_would_start(self):
        gateway = await self.start("engine")
        engine = gateway.engines._queue(next(iter(gateway.view.servers["engine"])))
        engine.busy_until = gateway.loop.time() + 60.0
        await self.call_engine(gateway, "/mark/1")
        line = self.line(Event.REQUEST_REFUSED)
        self.assertRegex(line["cause"], r"the best of the others would start in 60\.\d")
