"""Tests of requests that wait while engines work off a backlog."""

import asyncio
import json
import unittest

from cassiaford.logs import Event
from cassiaford.platform._records import PlatformRecordDecoder
from standins.platform_worker import Behaviour
from tests.platform_case import PROMPT_HEADERS, PlatformCase, configuration, route

# Longer than the route's target latency, shorter than its callers wait.
BACKLOG_S = 2.0


class PatienceTest(unittest.TestCase):
    def patience_s(self, **fields):
        """Return the decoded patience of a route's callers."""
        mark = route("mark", "/mark/", "streaming", "engine", **fields)
        text = json.dumps(configuration(Routes=[mark])).encode()
        (decoded,) = PlatformRecordDecoder().configuration(text).routes
        return decoded.patience_s

    def test_callers_wait_for_the_longest_of_three_times(self):
        self.assertEqual(self.patience_s(TargetLatencyMs=400), 2.0)
        self.assertEqual(self.patience_s(TargetLatencyMs=800), 3.2)
        self.assertEqual(self.patience_s(TargetLatencyMs=400, GapAimMs=300), 2.4)


class WaitingTest(PlatformCase):
    async def start(self):
        """Start an engine and a gateway that assumes it has a backlog."""
        await self.store.put("op/config", configuration())
        self.worker = await self.start_worker("i-0", "engine")
        gateway = await self.start_gateway()
        key = next(iter(gateway.view.servers["engine"]))
        self.engine = gateway.engines._queue(key)
        self.engine.busy_until = gateway.loop.time() + BACKLOG_S
        self.lines = []
        gateway.log.write = lambda event, **details: self.lines.append((event, details))
        gateway.log.write_sampled = gateway.log.write
        return gateway

    def add_backlog(self, gateway):
        """Make the gateway assume that every engine has a backlog."""
        for key in gateway.view.servers["engine"]:
            engine = gateway.engines._queue(key)
            engine.busy_until = gateway.loop.time() + BACKLOG_S

    async def test_a_late_request_is_sent_once_the_engine_has_caught_up(self):
        gateway = await self.start()
        request = asyncio.create_task(self.call_engine(gateway, "/mark/1"))
        await self.wait_until(lambda: gateway.placer.waiting.prefill_s)
        self.assertEqual(self.worker.ran, [])
        self.engine.busy_until = 0.0
        self.assertEqual((await request).status, 200)
        self.assertEqual(len(self.worker.ran), 1)
        self.assertEqual(gateway.placer.waiting.prefill_s, {})
        (line,) = (d for event, d in self.lines if event is Event.REQUEST_COMPLETED)
        self.assertGreater(line["waited_s"], 0.0)

    async def test_a_started_stream_resumes_without_waiting(self):
        gateway = await self.start()
        second = await self.start_worker("i-1", "engine")
        await self.wait_until(lambda: self._has_all_workers(gateway))
        self.assertEqual(second.ran, [])
        # The request is placed on the first engine, which breaks off its stream.
        self.worker.behaviours = [Behaviour.BREAK_IN_EVENT]
        self.add_backlog(gateway)
        self.engine.busy_until = 0.0
        first_token = gateway.placer.record_first_token

        def record_and_add_backlog(*given):
            first_token(*given)
            self.add_backlog(gateway)

        gateway.placer.record_first_token = record_and_add_backlog
        waited = []
        gateway.placer.waiting.add = lambda *given: waited.append(given)
        response = await self.call_engine(gateway)
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual((len(self.worker.ran), len(second.ran)), (1, 1))
        self.assertEqual(waited, [])

    async def test_a_waiting_request_whose_caller_disconnects_is_never_sent(self):
        gateway = await self.start()
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request("/mark/1", **PROMPT_HEADERS))
        await self.wait_until(lambda: gateway.placer.waiting.prefill_s)
        writer.close()
        await self.wait_until(lambda: not gateway.front.in_progress)
        self.assertEqual(gateway.placer.waiting.prefill_s, {})
        self.assertEqual(self.worker.ran, [])
        (line,) = (d for event, d in self.lines if event is Event.CALLER_LEFT)
        self.assertEqual((line["verdict"], line["sends"]), ("not_run", 0))
