"""Tests that no stream joins software versions after all instances were killed."""

import asyncio
import unittest

from standins.platform_worker import Behaviour
from tests.platform_case import PlatformCase, ResumingCaller, configuration, route
from tests.test_origin_schedules import MIN_TAKEN_UP, Schedule
from tests.virtual_time import run_in_virtual_time

FIRST_EVENT_END = b"\n\n"
EVENTS = 8
STREAMS = 6
SEEDS = 6
SHORT_TIMEOUT_S = 0.3


class FullRestartTest(PlatformCase):
    """Callers whose streams broke off with every instance, and that take them up."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        for server_id, version in (("i-0", "v1"), ("i-1", "v1"), ("j-0", "v2")):
            await self.start_worker(
                server_id, "engine", software_version=version, events=EVENTS
            )

    async def begin(self, gateways):
        """Let callers begin streams; return those that the old version began."""
        callers = [ResumingCaller(self) for _ in range(STREAMS)]
        for number, caller in enumerate(callers):
            gateway = gateways[number % len(gateways)]
            # The new version makes no stream's first event.
            gateway.health.record_failure(self.key(gateway, "j-0"), gateway.loop.time())
            for worker in self.workers.values():
                worker.behaviours = [Behaviour.HOLD_STREAM]
            await caller.attempt(gateway, until=FIRST_EVENT_END)
        for worker in self.workers.values():
            worker.behaviours = []
        self.assertTrue(all(caller.events for caller in callers))
        return callers

    def key(self, gateway, server_id):
        servers = gateway.view.servers["engine"].items()
        return next(key for key, s in servers if s.server_id == server_id)

    async def kill_all(self, gateways):
        """Stop all gateways at once, without their planned stop."""
        for gateway in gateways:
            await self._stop_gateway(self.tasks[gateway], gateway)

    async def leave(self, *server_ids):
        """Remove servers and their entries."""
        for server_id in server_ids:
            await self.store.remove(f"servers/{server_id}")
            await self.workers.pop(server_id).stop()

    async def take_up(self, callers, gateways, named=True):
        """Let each caller take its stream up; check that none is joined."""
        for number, caller in enumerate(callers):
            before = list(caller.events)
            headers = {} if named else {"Resumes": None}
            gateway = gateways[number % len(gateways)]
            response = await caller.attempt(gateway, **headers)
            self.assertEqual(len(caller.software_versions), 1)
            if not caller.finished:
                self.assertEqual(response.status, 503)
                self.assertIn("retry-after", response.headers)
                self.assertEqual(caller.events, before)

    async def test_two_versions_are_in_service(self):
        for named in (True, False):
            with self.subTest(named=named):
                gateways = [await self.start_gateway(f"a-{n}{named}") for n in range(2)]
                callers = await self.begin(gateways)
                await self.kill_all(gateways)
                again = [await self.start_gateway(f"b-{n}{named}") for n in range(2)]
                await self.take_up(callers, again, named)

    async def test_the_old_version_has_just_left(self):
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        callers = await self.begin(gateways)
        await self.kill_all(gateways)
        await self.leave("i-0", "i-1")
        again = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.take_up(callers, again, named=False)
        await self.take_up(callers, again)

    async def test_two_full_restarts_and_an_unreachable_store(self):
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        callers = await self.begin(gateways)
        await self.kill_all(gateways)
        await self.leave("i-0")
        again = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        self.store.faults.refuse = True
        await self.take_up(callers, again, named=False)
        await self.kill_all(again)
        self.store.faults.refuse = False
        await self.leave("i-1")
        again = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.take_up(callers, again)
        await self.take_up(callers, again, named=False)

    async def test_callers_that_are_more_patient_than_the_timeouts(self):
        # A caller takes its stream up until its own deadline, over many attempts.
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        callers = await self.begin(gateways)
        await self.kill_all(gateways)
        await self.leave("i-0", "i-1")
        short = round(SHORT_TIMEOUT_S * 1000)
        routes = [
            route(
                "ask", "/ask/", "streaming", "engine", Resumable=True, TimeoutMs=short
            )
        ]
        await self.store.put("op/config", configuration(2, Routes=routes))
        again = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await asyncio.sleep(4 * SHORT_TIMEOUT_S)
        await self.take_up(callers, again, named=False)
        await self.take_up(callers, again)


class KillAllSchedule(Schedule):
    """A schedule in which all instances are killed at once, again and again."""

    take_ups = 0

    async def _attempt(self, stream, resumed):
        self.take_ups += resumed
        return await super()._attempt(stream, resumed)

    async def _kill(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.8, 4.0))
            for instance in self.instances.values():
                instance.alive = False
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))
            for name in sorted(self.instances):
                self._start_instance(name)


class KillAllScheduleTest(unittest.TestCase):
    """Full restarts beside cuts, lost messages and a roll-out of three versions."""

    def test_no_stream_joins_versions(self):
        for seed in range(1, SEEDS + 1):
            with self.subTest(seed=seed):
                schedule = run_in_virtual_time(self.play(seed))
                self.assertEqual(schedule.joined, [])
                self.assertGreaterEqual(schedule.take_ups, MIN_TAKEN_UP)

    async def play(self, seed):
        schedule = KillAllSchedule(seed)
        await schedule.run()
        return schedule


if __name__ == "__main__":
    unittest.main()
