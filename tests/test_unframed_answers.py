"""Tests of answers that end with their connection, and of bytes without end."""

import asyncio
import gc
import tracemalloc

from standins.platform_worker import Behaviour
from tests.platform_case import PlatformCase, configuration, route

# Far above what an answer or its head may hold in memory, far below what a
# server sends in the time of a request.
MAX_MEMORY_BYTES = 16_000_000


class UnframedCase(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            route("book", "/book/", "unsafe", "desk", TimeoutMs=700),
            route("ask", "/ask/", "streaming", "engine", Resumable=True),
            route("mark", "/mark/", "streaming", "engine", TimeoutMs=700),
        ]
        await self.store.put("op/config", configuration(Routes=routes))

    async def start(self, service, *behaviours):
        """Start a worker that misbehaves, and a gateway."""
        self.worker = await self.start_worker("i-0", service)
        self.worker.behaviours = list(behaviours)
        return await self.start_gateway()


class UnframedStreamTest(UnframedCase):
    async def test_a_stream_that_ends_with_its_connection_is_complete(self):
        gateway = await self.start("engine", Behaviour.UNFRAMED)
        response = await self.call_engine(gateway)
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(response.body.count(b"data: piece"), 3)

    async def test_a_stream_that_ends_inside_an_event_has_been_broken_off(self):
        gateway = await self.start("engine", Behaviour.UNFRAMED_BREAK)
        response = await self.call_engine(gateway, "/mark/1")
        self.assertFalse(response.complete)
        self.assertTrue(b"id: 1\ndata: piece 1 of v1\n\n".startswith(response.body))

    async def test_a_stream_that_ends_inside_an_event_is_resumed_elsewhere(self):
        gateway = await self.start("engine")
        await self.start_worker("i-1", "engine")
        await self.wait_until(lambda: self._has_all_workers(gateway))
        # The next request goes to the engine that has the prefix of this one.
        await self.call_engine(gateway)
        (chosen,) = (worker for worker in self.workers.values() if worker.ran)
        chosen.behaviours = [Behaviour.UNFRAMED_BREAK]
        response = await self.call_engine(gateway)
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(response.body.count(b"data: piece"), 3)


class UnframedBodyTest(UnframedCase):
    async def test_a_body_without_a_length_that_is_reset_is_not_complete(self):
        gateway = await self.start("desk", Behaviour.UNFRAMED_RESET)
        response = await self.call(gateway, "/book/1")
        self.assertNotEqual((response.status, response.complete), (200, True))


class EndlessTest(UnframedCase):
    async def check_bounded(self, service, path, behaviour):
        """Check that endless bytes end with the request, in little memory."""
        gateway = await self.start(service, behaviour)
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        call = self.call_engine if service == "engine" else self.call
        response = await call(gateway, path)
        peak = tracemalloc.get_traced_memory()[1]
        sent = self.worker.noise_bytes
        self.assertNotEqual((response.status, response.complete), (200, True))
        self.assertLess(peak, MAX_MEMORY_BYTES)
        await self.wait_until(lambda: self.worker.noise_ended)
        return sent

    async def test_a_head_without_end_is_given_up(self):
        sent = await self.check_bounded("desk", "/book/1", Behaviour.ENDLESS_HEAD)
        self.assertLess(sent, MAX_MEMORY_BYTES)

    async def test_the_head_of_a_stream_without_end_is_given_up(self):
        sent = await self.check_bounded("engine", "/mark/1", Behaviour.ENDLESS_HEAD)
        self.assertLess(sent, MAX_MEMORY_BYTES)

    async def test_a_body_without_end_is_not_collected(self):
        # A caller that reads nothing shows what the gateway itself would collect.
        gateway = await self.start("desk", Behaviour.ENDLESS_BODY)
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        _, writer = await asyncio.open_connection(host, int(port))
        writer.transport.pause_reading()
        writer.write(self.request("/book/1"))
        await self.wait_until(lambda: self.worker.noise_ended)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)
        writer.transport.abort()

    async def test_an_event_without_end_is_given_up(self):
        sent = await self.check_bounded("engine", "/mark/1", Behaviour.ENDLESS_BODY)
        self.assertLess(sent, MAX_MEMORY_BYTES)
