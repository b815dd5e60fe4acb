"""Tests that a stream taken up at another instance stays at its software version."""

import asyncio

from cassiaford.gateway._gauges import gauges
from cassiaford.gateway._peer_codec import OriginMessage, encode_origin_message
from cassiaford.gateway.policy._peer_table import LIVENESS_TIMEOUT_S
from cassiaford.logs import Event
from cassiaford.origins import StreamOrigin
from standins.platform_worker import Behaviour
from tests.platform_case import PlatformCase, ResumingCaller, configuration

FIRST_EVENT_END = b"\n\n"
EVENTS = 8
STREAMS = 12


class StreamsAcrossInstancesTest(PlatformCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.refusals = []
        await self.store.put("op/config", configuration())
        for server_id, version in (
            ("i-0", "v1"),
            ("i-1", "v1"),
            ("j-0", "v1.1"),
            ("j-1", "v1.1"),
        ):
            await self.start_worker(
                server_id, "engine", software_version=version, events=EVENTS
            )

    async def start_gateways(self, *names):
        """Start gateways and wait until they have heard each other."""
        started = [await self.start_gateway(name) for name in names]
        self.running = list(started)
        await self.wait_until(
            lambda: all(
                len(g.table.live(g.loop.time())) == len(started) - 1 for g in started
            )
        )
        return started

    async def kill(self, gateway):
        """Stop a gateway without its planned stop."""
        await self._stop_gateway(self.tasks[gateway], gateway)
        self.running.remove(gateway)

    async def kill_noticed(self, gateway):
        """Stop a gateway without its planned stop, and let its peers notice."""
        await self.kill(gateway)
        # Its last reports arrive before they are counted as old.
        await asyncio.sleep(0.05)
        for other in self.running:
            peer = other.table.peers[gateway.state.name]
            peer.last_report_at -= LIVENESS_TIMEOUT_S

    def hold_streams(self, count):
        """Make every engine hold its next streams after their first event."""
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.HOLD_STREAM] * count

    def back_off(self, gateway, callers):
        """Make a gateway avoid the engines of the callers' software versions."""
        versions = set().union(*(caller.software_versions for caller in callers))
        for key, server in gateway.view.servers["engine"].items():
            if server.software_version in versions:
                for _ in range(4):
                    gateway.health.record_unreachable(key, gateway.loop.time())

    async def take_one_event(self, callers, gateway):
        """Let callers begin or take up their streams, and leave after an event."""
        self.hold_streams(len(callers))
        await asyncio.gather(
            *(c.attempt(gateway, until=FIRST_EVENT_END) for c in callers)
        )

    async def finish(self, callers, gateway):
        """Let callers take up their streams to the end."""
        self.hold_streams(0)
        write = gateway.log.write

        def keep(event, **details):
            if event is Event.REQUEST_REFUSED:
                self.refusals.append((details["reason"], details["cause"]))
            write(event, **details)

        gateway.log.write = keep
        return await asyncio.gather(*(c.attempt(gateway) for c in callers))

    def assert_whole(self, callers):
        for caller in callers:
            self.assertTrue(caller.finished, self.refusals)
            self.assertEqual(len(caller.software_versions), 1)
            numbers = [number for number, _ in caller.events]
            self.assertEqual(numbers, list(range(1, EVENTS + 1)))

    async def test_streams_go_on_through_the_kills_of_one_instance_after_another(self):
        names = [f"entry-{number}" for number in range(4)]
        *killed, last = await self.start_gateways(*names)
        callers = [ResumingCaller(self) for _ in range(STREAMS)]
        for number, gateway in enumerate(killed):
            self.back_off(gateway, callers)
            await self.take_one_event(callers, gateway)
            self.assertEqual([len(c.events) for c in callers], [number + 1] * STREAMS)
            await self.kill_noticed(gateway)
        self.back_off(last, callers)
        await self.finish(callers, last)
        self.assert_whole(callers)

    async def test_most_streams_go_on_through_kills_that_no_peer_notices_in_time(self):
        names = [f"entry-{number}" for number in range(4)]
        *killed, last = await self.start_gateways(*names)
        callers = [ResumingCaller(self) for _ in range(STREAMS)]
        for gateway in killed:
            self.back_off(gateway, callers)
            await self.take_one_event(callers, gateway)
            await self.kill(gateway)
        self.back_off(last, callers)
        responses = await self.finish(callers, last)
        went_on = [caller for caller in callers if caller.finished]
        self.assert_whole(went_on)
        # All new streams began, and at least half of that share must go on.
        self.assertGreaterEqual(len(went_on), STREAMS / 2)
        for caller, response in zip(callers, responses, strict=True):
            self.assertEqual(len(caller.software_versions), 1)
            if not caller.finished:
                self.assertEqual(response.status, 503)

    async def test_a_restarted_instance_learns_where_its_streams_began(self):
        first, _ = await self.start_gateways("entry-0", "entry-1")
        callers = [ResumingCaller(self) for _ in range(STREAMS)]
        await self.take_one_event(callers, first)
        await self.kill(first)
        again = await self.start_gateway("entry-0")
        await self.wait_until(again.table.all)
        self.back_off(again, callers)
        await self.finish(callers, again)
        self.assert_whole(callers)

    async def test_an_instance_whose_messages_were_lost_is_asked_itself(self):
        first, second = await self.start_gateways("entry-0", "entry-1")
        send, first.origins.send = first.origins.send, lambda data, address: None
        callers = [ResumingCaller(self) for _ in range(STREAMS)]
        await self.take_one_event(callers, first)
        first.origins.send = send
        self.back_off(second, callers)
        await self.finish(callers, second)
        self.assert_whole(callers)

    async def test_a_stream_that_no_running_instance_knows_ends_visibly(self):
        first, second = await self.start_gateways("entry-0", "entry-1")
        callers = [ResumingCaller(self) for _ in range(STREAMS)]
        await self.take_one_event(callers, first)
        await self.kill(first)
        await self.kill(second)
        third = await self.start_gateway("entry-2")
        ran_before = sum(len(worker.ran) for worker in self.workers.values())
        responses = await self.finish(callers, third)
        self.assertEqual({response.status for response in responses}, {503})
        self.assertEqual([len(caller.events) for caller in callers], [1] * STREAMS)
        ran = sum(len(worker.ran) for worker in self.workers.values())
        self.assertEqual(ran, ran_before)

    async def test_damaged_messages_are_dropped_with_a_log_line(self):
        first, second = await self.start_gateways("entry-0", "entry-1")
        lines = []
        second.log.write = lambda event, **details: lines.append((event, details))
        data = encode_origin_message(OriginMessage(asked=(1,)))
        for damaged in (b"\xff" * 60, data[:-2], b"x"):
            first.peers.send(damaged, second.state.peer_address)
        await self.wait_until(lambda: len(lines) >= 3)
        self.assertEqual({e for e, _ in lines}, {Event.PEER_MESSAGE_DROPPED})
        first.origins.record("attempt", StreamOrigin("engine", "v1"))
        await self.wait_until(lambda: len(second.origins.origins))
        found = await second.origins.find("attempt")
        self.assertEqual(found, StreamOrigin("engine", "v1"))

    async def test_gauges_show_what_is_known_and_asked(self):
        first, second = await self.start_gateways("entry-0", "entry-1")
        first.origins.record("attempt", StreamOrigin("engine", "v1"))
        self.assertIsNone(await second.origins.find("another"))
        values = dict(gauges(second, second.loop.time()))
        self.assertEqual(values["stream_origins"], 1)
        self.assertEqual(values["stream_origin_lookups_total"], 1)
        self.assertEqual(values["stream_origins_found_total"], 0)
        self.assertEqual(values["stream_origin_lookups_dropped_total"], 0)
