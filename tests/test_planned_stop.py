"""Tests that a planned stop cuts no request that it could have answered."""

import asyncio
import random

from cassiaford.gateway._gateway import END_FRACTION, REFUSE_AFTER_FRACTION
from cassiaford.gateway.policy import StopSchedule
from standins.platform_worker import Behaviour
from tests.platform_case import PlatformCase, configuration, read_response, route

DRAIN_S = 2.0
# The answers of a last moment may take this long.
MARGIN_S = 0.3
CALLERS = 6
SEEDS = 4


class StopCase(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            route("book", "/book/", "unsafe", "desk", MaxAttempts=1),
            route("read", "/read/", "safe", "desk"),
            route("ask", "/ask/", "streaming", "engine", Resumable=True),
        ]
        await self.store.put("op/config", configuration(Routes=routes))
        self.desk = await self.start_worker("i-0", "desk")
        self.engine = await self.start_worker("i-1", "engine", events=8)

    async def stop(self, gateway):
        """Begin a planned stop, and wait until callers are to leave."""
        self.stopped_at = gateway.loop.time()
        gateway.stopping.set()
        await self.wait_until(lambda: gateway.front.leaving)

    def assert_in_grace(self, gateway):
        """Check that the grace has not passed."""
        self.assertLess(gateway.loop.time() - self.stopped_at, DRAIN_S)

    def assert_sent_elsewhere(self, response):
        """Check the refusal of a request that has not run."""
        self.assertEqual((response.status, response.complete), (503, True))
        self.assertIn("retry-after", response.headers)


class LateRequestTest(StopCase):
    async def test_what_cannot_finish_is_refused_before_it_is_sent(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        for path in ("book", "read", "ask"):
            gateway.front.context.stop.record_run(path, 10.0)
        await self.stop(gateway)
        for path in ("/book/1", "/read/1"):
            self.assert_sent_elsewhere(await self.call(gateway, path))
        self.assert_sent_elsewhere(await self.call_engine(gateway))
        self.assertEqual((self.desk.ran, self.engine.ran), ([], []))

    async def test_what_can_finish_is_served_until_callers_know(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        gateway.front.context.stop.record_run("book", 0.02)
        await self.stop(gateway)
        self.assertEqual((await self.call(gateway, "/book/1")).status, 200)

    async def test_a_kept_connection_gets_refusals_until_it_is_closed(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request("/book/1")[:-1])
        await self.wait_until(lambda: any(c._receiving for c in gateway.connections))
        await self.stop(gateway)
        await self.wait_until(lambda: gateway.front.refusing)
        writer.write(b"}")
        self.assert_sent_elsewhere(await read_response(reader))
        writer.close()
        self.assertEqual(self.desk.ran, [])


class EndOfGraceTest(StopCase):
    async def test_what_was_not_sent_is_refused_as_not_run(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        gateway.adapter.pool.connect = self.hang
        calls = [
            asyncio.create_task(self.call(gateway, path))
            for path in ("/book/1", "/read/1")
        ]
        await self.wait_until(lambda: gateway.front.in_progress == len(calls))
        await self.stop(gateway)
        for response in await asyncio.gather(*calls):
            self.assert_sent_elsewhere(response)
        self.assert_in_grace(gateway)
        self.assertEqual(self.desk.ran, [])

    @staticmethod
    async def hang(*arguments):
        """Open no connection, as to a server that does not respond."""
        await asyncio.get_running_loop().create_future()

    async def test_what_runs_is_answered_as_possibly_run(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        self.desk.behaviours = [Behaviour.HANG]
        call = asyncio.create_task(self.call(gateway, "/book/1", attempt="b1"))
        await self.wait_until(lambda: self.desk.ran)
        await self.stop(gateway)
        response = await call
        self.assertEqual((response.status, response.complete), (502, True))
        self.assertEqual(self.desk.ran, ["b1"])
        self.assert_in_grace(gateway)

    async def test_a_stream_that_has_begun_ends_visibly(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        self.engine.behaviours = [Behaviour.HOLD_STREAM]
        call = asyncio.create_task(self.call_engine(gateway))
        await self.wait_until(lambda: self.engine.ran)
        await self.stop(gateway)
        response = await call
        self.assertEqual((response.status, response.complete), (200, False))

    async def test_the_same_while_the_store_is_away_and_a_server_has_died(self):
        gateway = await self.start_gateway(drain_s=DRAIN_S)
        self.desk.behaviours = [Behaviour.HANG]
        call = asyncio.create_task(self.call(gateway, "/book/1"))
        await self.wait_until(lambda: self.desk.ran)
        self.store.faults.refuse = True
        await self.stop(gateway)
        self.engine.crash()
        response = await call
        self.assertEqual((response.status, response.complete), (502, True))
        self.assert_in_grace(gateway)


class SeriesTest(StopCase):
    """Callers that use their open connections until the process is gone."""

    async def test_every_request_that_ran_is_answered(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed), seed)

    async def play(self, rng, seed):
        gateway = await self.start_gateway(f"entry-{seed}", drain_s=DRAIN_S)
        self.desk.prefill_s = rng.choice((0.02, 0.1, 0.6))
        answered, unanswered = {}, set()
        callers = [
            asyncio.create_task(self.keep_calling(gateway, rng, answered, unanswered))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(rng.uniform(0.1, 0.8))
        await self.stop(gateway)
        await asyncio.gather(*callers)
        ran = set(self.desk.ran)
        self.assertEqual(ran & unanswered, set())
        refused = {attempt for attempt, status in answered.items() if status == 503}
        self.assertEqual(ran & refused, set())
        self.assertIn(200, answered.values())

    async def keep_calling(self, gateway, rng, answered, unanswered):
        """Send bookings on one connection after the other until none opens."""
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            try:
                while True:
                    attempt = f"a-{rng.getrandbits(60):x}"
                    unanswered.add(attempt)
                    writer.write(self.request("/book/1", attempt=attempt))
                    response = await read_response(reader)
                    if response.complete:
                        unanswered.discard(attempt)
                        answered[attempt] = response.status
                    if response.headers.get("connection") == "close":
                        break
                    await asyncio.sleep(rng.uniform(0.0, 0.05))
            except (OSError, asyncio.IncompleteReadError):
                continue
            finally:
                writer.close()


class StopScheduleTest(StopCase):
    async def test_a_request_with_a_near_deadline_is_answered_in_any_case(self):
        schedule = StopSchedule()
        schedule.record_run("book", 10.0)
        schedule.ends_at = 2.0
        self.assertTrue(schedule.can_finish("book", 1.9, 0.0, now=1.0))
        self.assertFalse(schedule.can_finish("book", 2.1, 0.0, now=1.0))

    async def test_an_engine_s_queue_counts(self):
        schedule = StopSchedule()
        schedule.record_run("ask", 0.1)
        schedule.ends_at = 2.0
        self.assertTrue(schedule.can_finish("ask", 9.0, 0.1, now=1.0))
        self.assertFalse(schedule.can_finish("ask", 9.0, 0.9, now=1.0))

    async def test_requests_are_refused_before_the_end(self):
        self.assertLess(REFUSE_AFTER_FRACTION, END_FRACTION)
