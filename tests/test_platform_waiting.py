"""Tests of requests that wait while engines are behind, over sockets."""

import asyncio
import json
import unittest

from cassiaford.logs import Event
from cassiaford.platform._records import PlatformRecordDecoder
from standins.platform_worker import Behaviour
from tests.platform_case import PROMPT, PlatformCase, configuration, route

# Longer than the target of the route, shorter than its callers stay.
BEHIND_S = 2.0


class PatienceTest(unittest.TestCase):
    def patience_s(self, **fields):
        """Return how long callers of a stream stay, from the operators' text."""
        mark = route("mark", "/mark/", "streaming", "engine", **fields)
        text = json.dumps(configuration(Routes=[mark])).encode()
        (decoded,) = PlatformRecordDecoder().configuration(text).routes
        return decoded.patience_s

    def test_callers_stay_for_the_longest_of_three_times(self):
        self.assertEqual(self.patience_s(TargetLatencyMs=400), 2.0)
        self.assertEqual(self.patience_s(TargetLatencyMs=800), 3.2)
        self.assertEqual(self.patience_s(TargetLatencyMs=400, GapAimMs=300), 2.4)


class WaitingTest(PlatformCase):
    async def start(self):
        """Start an engine that is behind, and a gateway before it."""
        await self.store.put("op/config", configuration())
        self.worker = await self.start_worker("i-0", "engine")
        gateway = await self.start_gateway()
        key = next(iter(gateway.view.servers["engine"]))
        self.engine = gateway.engines._queue(key)
        self.engine.busy_until = gateway.loop.time() + BEHIND_S
        self.lines = []
        gateway.log.write = lambda event, **details: self.lines.append((event, details))
        gateway.log.write_sampled = gateway.log.write
        return gateway

    def fall_behind(self, gateway):
        """Have every engine be behind."""
        for key in gateway.view.servers["engine"]:
            engine = gateway.engines._queue(key)
            engine.busy_until = gateway.loop.time() + BEHIND_S

    async def test_a_late_request_is_sent_once_the_engine_has_caught_up(self):
        gateway = await self.start()
        asked = asyncio.create_task(self.ask(gateway, "/mark/1"))
        await self.until(lambda: gateway.placer.waiting.prefill_s)
        self.assertEqual(self.worker.ran, [])
        self.engine.busy_until = 0.0
        self.assertEqual((await asked).status, 200)
        self.assertEqual(len(self.worker.ran), 1)
        self.assertEqual(gateway.placer.waiting.prefill_s, {})
        (line,) = (d for event, d in self.lines if event is Event.REQUEST_COMPLETED)
        self.assertGreater(line["waited_s"], 0.0)

    async def test_a_stream_that_has_begun_goes_on_at_once(self):
        gateway = await self.start()
        second = await self.start_worker("i-1", "engine")
        await self.until(lambda: self._knows_workers(gateway))
        self.assertEqual(second.ran, [])
        # The first engine is chosen, and breaks off.
        self.worker.behaviours = [Behaviour.BREAK_IN_EVENT]
        self.fall_behind(gateway)
        self.engine.busy_until = 0.0
        first_token = gateway.placer.record_first_token

        def begin(*given):
            first_token(*given)
            self.fall_behind(gateway)

        gateway.placer.record_first_token = begin
        waited = []
        gateway.placer.waiting.add = lambda *given: waited.append(given)
        answer = await self.ask(gateway)
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual((len(self.worker.ran), len(second.ran)), (1, 1))
        self.assertEqual(waited, [])

    async def test_a_waiting_request_whose_caller_leaves_is_never_sent(self):
        gateway = await self.start()
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request("/mark/1", **PROMPT))
        await self.until(lambda: gateway.placer.waiting.prefill_s)
        writer.close()
        await self.until(lambda: not gateway.front.in_progress)
        self.assertEqual(gateway.placer.waiting.prefill_s, {})
        self.assertEqual(self.worker.ran, [])
        (line,) = (d for event, d in self.lines if event is Event.CALLER_LEFT)
        self.assertEqual((line["verdict"], line["sends"]), ("not_run", 0))
