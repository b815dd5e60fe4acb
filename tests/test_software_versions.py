"""Tests that no stream holds events of two software versions.

Each names what was seen: an answer that its instance continued at any server, a
caller's resume that went to any server, and a replay at any server.
"""

import asyncio
from dataclasses import replace
from unittest import mock

from cassiaford.gateway import _exchange
from cassiaford.gateway._server_chooser import ServerChooser
from cassiaford.logs import Event
from standins.platform_worker import Behaviour
from tests.dispatcher_case import DispatcherCase
from tests.fakes import DONE, full_stream, model_request
from tests.platform_case import (
    MODEL,
    PlatformCase,
    ResumingCaller,
    configuration,
    route,
)
from tests.stream_scripts import EVENTS, WHOLE, broken_stream

FIRST_EVENT_END = b"\n\n"


class SoftwareVersionCase(PlatformCase):
    """Starts engines of two software versions and a gateway."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())
        self.old = [await self.start_engine(f"i-{n}", "v1") for n in range(2)]
        self.new = [await self.start_engine(f"j-{n}", "v1.1") for n in range(2)]
        self.gateway = await self.start_gateway()
        self.lines = []
        self.gateway.log.write = lambda event, **d: self.lines.append((event, d))

    async def start_engine(self, server_id, software_version):
        return await self.start_worker(
            server_id, "engine", software_version=software_version
        )

    def key_of(self, worker):
        """Return the number by which the gateway knows a worker."""
        servers = self.gateway.view.servers["engine"]
        return next(k for k, s in servers.items() if s.server_id == worker.server_id)

    def back_off(self, *workers):
        """Make the gateway avoid workers."""
        for worker in workers:
            for _ in range(4):
                self.gateway.health.record_unreachable(
                    self.key_of(worker), self.gateway.loop.time()
                )

    async def remove(self, *workers):
        """End workers and their entries, and wait until the gateway knows."""
        for worker in workers:
            await self.store.remove(f"servers/{worker.server_id}")
            worker.state = "gone"
            await worker.stop()
        await self.wait_until(lambda: self._has_all_workers(self.gateway))

    async def first_choice(self):
        """Send a request and return the engine that requests of its prefix go to."""
        await self.call_engine(self.gateway)
        return next(worker for worker in self.workers.values() if worker.ran)

    def mate_of(self, worker):
        """Return the other worker of a worker's software version."""
        group = self.old if worker in self.old else self.new
        return next(other for other in group if other is not worker)

    def others_than(self, *workers):
        return [w for w in self.workers.values() if w not in workers]

    def ran_count(self):
        return sum(len(worker.ran) for worker in self.workers.values())


class OneAnswerTest(SoftwareVersionCase):
    async def test_a_broken_answer_goes_on_at_its_version_whatever_it_costs(self):
        chosen = await self.first_choice()
        mate = self.mate_of(chosen)
        chosen.behaviours = [Behaviour.CRASH_IN_STREAM]
        self.back_off(mate)
        self.gateway.placer.out_of_use = frozenset({self.key_of(mate)})
        self.gateway._out_of_use_changed = lambda: None
        caller = ResumingCaller(self)
        await caller.attempt(self.gateway)
        self.assertEqual(caller.software_versions, {chosen.software_version})
        self.assertTrue(caller.finished)
        self.assertEqual([number for number, _ in caller.events], [1, 2, 3])

    async def test_a_broken_answer_ends_visibly_without_a_server_of_its_version(self):
        chosen = await self.first_choice()
        chosen.behaviours = [Behaviour.CRASH_IN_STREAM]
        await self.remove(self.mate_of(chosen))
        ran_before = self.ran_count()
        caller = ResumingCaller(self)
        response = await caller.attempt(self.gateway)
        self.assertEqual(caller.events, [(1, chosen.software_version)])
        self.assertFalse(response.complete)
        self.assertEqual(self.ran_count(), ran_before + 1)
        (line,) = (d for event, d in self.lines if event is Event.REQUEST_FAILED)
        self.assertIn("software version", line["cause"])
        self.assertIn(chosen.software_version, line["cause"])

    async def test_an_answer_of_an_unknown_version_is_not_continued(self):
        await self.remove(*self.old, *self.new)
        nameless = [await self.start_engine(f"k-{n}", None) for n in range(2)]
        await self.wait_until(lambda: self._has_all_workers(self.gateway))
        for worker in nameless:
            worker.behaviours = [Behaviour.CRASH_IN_STREAM]
        caller = ResumingCaller(self)
        response = await caller.attempt(self.gateway)
        self.assertEqual(len(caller.events), 1)
        self.assertFalse(response.complete)
        self.assertEqual(sum(len(worker.ran) for worker in nameless), 1)

    async def test_an_idle_answer_that_no_server_may_continue_is_left_to_go_on(self):
        chosen = await self.first_choice()
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        await self.remove(self.mate_of(chosen))
        caller = ResumingCaller(self)
        with (
            mock.patch.object(_exchange, "STREAM_IDLE_TIMEOUT_S", 0.01),
            mock.patch.object(
                ServerChooser,
                "has_another_server",
                autospec=True,
                side_effect=ServerChooser.has_another_server,
            ) as asked,
        ):
            attempt = asyncio.create_task(caller.attempt(self.gateway))
            await self.wait_until(lambda: asked.call_count >= 3)
            chosen.released.set()
            await attempt
        self.assertTrue(caller.finished)
        self.assertEqual(caller.software_versions, {chosen.software_version})

    async def test_an_idle_answer_is_not_cut_for_a_server_that_is_down(self):
        chosen = await self.first_choice()
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        mate = self.mate_of(chosen)
        mate.crash()
        self.back_off(mate)
        caller = ResumingCaller(self)
        with (
            mock.patch.object(_exchange, "STREAM_IDLE_TIMEOUT_S", 0.01),
            mock.patch.object(
                ServerChooser,
                "has_another_server",
                autospec=True,
                side_effect=ServerChooser.has_another_server,
            ) as asked,
        ):
            attempt = asyncio.create_task(caller.attempt(self.gateway))
            await self.wait_until(lambda: asked.call_count >= 3 or attempt.done())
            chosen.released.set()
            await attempt
        self.assertTrue(caller.finished)

    async def test_a_request_without_an_event_is_sent_to_any_version(self):
        chosen = await self.first_choice()
        chosen.behaviours = [Behaviour.CRASH]
        await self.remove(self.mate_of(chosen))
        caller = ResumingCaller(self)
        await caller.attempt(self.gateway)
        self.assertTrue(caller.finished)
        self.assertNotIn(chosen.software_version, caller.software_versions)


class CallersResumeTest(SoftwareVersionCase):
    async def begin(self):
        """Return a caller that left after its first event, and the engine."""
        chosen = await self.first_choice()
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        caller = ResumingCaller(self)
        await caller.attempt(self.gateway, until=FIRST_EVENT_END)
        self.assertEqual(caller.events, [(1, chosen.software_version)])
        return caller, chosen

    async def test_a_stream_is_taken_up_at_its_version_whatever_it_costs(self):
        caller, chosen = await self.begin()
        mate = self.mate_of(chosen)
        await self.remove(chosen)
        self.back_off(mate)
        await caller.attempt(self.gateway)
        self.assertTrue(caller.finished)
        self.assertEqual(caller.software_versions, {chosen.software_version})
        self.assertEqual(mate.calls[-1].headers["last-event-id"], "1")

    async def test_a_stream_taken_up_twice_stays_at_its_version(self):
        caller, chosen = await self.begin()
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.HOLD_STREAM]
        self.back_off(chosen, self.mate_of(chosen))
        await caller.attempt(self.gateway, until=FIRST_EVENT_END)
        self.assertEqual(len(caller.events), 2)
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.SERVE]
        self.back_off(chosen, self.mate_of(chosen))
        await caller.attempt(self.gateway)
        self.assertTrue(caller.finished)
        self.assertEqual(caller.software_versions, {chosen.software_version})
        self.assertEqual([number for number, _ in caller.events], [1, 2, 3])

    async def test_a_taken_up_stream_that_breaks_goes_on_at_its_version(self):
        caller, chosen = await self.begin()
        mate = self.mate_of(chosen)
        self.back_off(mate)
        chosen.behaviours = [Behaviour.CRASH_IN_STREAM]
        await caller.attempt(self.gateway)
        self.assertTrue(caller.finished)
        self.assertEqual(caller.software_versions, {chosen.software_version})

    async def test_a_resume_is_refused_at_once_while_its_version_is_away(self):
        caller, chosen = await self.begin()
        await self.remove(chosen, self.mate_of(chosen))
        ran_before = self.ran_count()
        response = await caller.attempt(self.gateway)
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.ran_count(), ran_before)
        (line,) = (d for event, d in self.lines if event is Event.REQUEST_REFUSED)
        self.assertEqual(line["verdict"], "not_run")
        self.assertIn(chosen.software_version, line["cause"])
        await self.start_engine("k-0", chosen.software_version)
        await self.wait_until(lambda: self._has_all_workers(self.gateway))
        await caller.attempt(self.gateway)
        self.assertTrue(caller.finished)
        self.assertEqual(caller.software_versions, {chosen.software_version})

    async def test_a_resume_of_an_unknown_stream_is_refused_beside_two_versions(self):
        for headers in (
            {"Last_Event_Id": "1", "Resumes": "never-seen"},
            {"Last_Event_Id": "1"},
            {"Last_Event_Id": "1", "Resumes": ""},
        ):
            with self.subTest(headers=headers):
                self.lines.clear()
                response = await self.call_engine(self.gateway, **headers)
                self.assertEqual(response.status, 503)
                (line,) = (d for e, d in self.lines if e is Event.REQUEST_REFUSED)
                self.assertEqual(line["verdict"], "not_run")
                self.assertIn("began", line["cause"])
        self.assertEqual(self.ran_count(), 0)

    async def test_streams_taken_up_beside_each_other_stay_at_their_versions(self):
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.HOLD_STREAM] * 12
        callers = [ResumingCaller(self) for _ in range(12)]
        await asyncio.gather(
            *(c.attempt(self.gateway, until=FIRST_EVENT_END) for c in callers)
        )
        self.assertEqual([len(caller.events) for caller in callers], [1] * 12)
        for worker in self.workers.values():
            worker.behaviours = []
        for worker in self.old:
            self.back_off(worker)
        await asyncio.gather(*(caller.attempt(self.gateway) for caller in callers))
        self.assertEqual([c.finished for c in callers], [True] * 12)
        self.assertEqual([len(c.software_versions) for c in callers], [1] * 12)


class SplitRouteTest(PlatformCase):
    async def test_a_stream_is_taken_up_at_the_service_that_began_it(self):
        split = [
            {"Service": "engine", "Weight": 1},
            {"Service": "engine-b", "Weight": 1},
        ]
        ask = route("ask", "/ask/", "streaming", "engine", Resumable=True)
        routes = [{**ask, "TrafficSplit": split}]
        await self.store.put("op/config", configuration(Routes=routes))
        await self.start_worker("i-0", "engine", software_version="v1")
        other = await self.start_worker("j-0", "engine-b", software_version="v7")
        other.versions = {MODEL: 1}
        await self.register(other)
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.HOLD_STREAM] * 8
        gateway = await self.start_gateway()
        callers = [ResumingCaller(self) for _ in range(8)]
        await asyncio.gather(
            *(c.attempt(gateway, until=FIRST_EVENT_END) for c in callers)
        )
        self.assertEqual({c.events[0][1] for c in callers}, {"v1", "v7"})
        for worker in self.workers.values():
            worker.behaviours = []
        await asyncio.gather(*(caller.attempt(gateway) for caller in callers))
        self.assertEqual([c.finished for c in callers], [True] * 8)
        self.assertEqual([len(c.software_versions) for c in callers], [1] * 8)


class SoleVersionTest(PlatformCase):
    async def test_an_unknown_stream_goes_on_where_one_version_has_served(self):
        await self.store.put("op/config", configuration())
        worker = await self.start_worker("i-0", "engine")
        gateway = await self.start_gateway()
        headers = {"Last_Event_Id": "1", "Resumes": "never-seen"}
        response = await self.call_engine(gateway, **headers)
        self.assertEqual((response.status, worker.calls), (503, []))
        # The instance has watched for longer than any request lasts.
        gateway.view.recent_software.started_at -= 100.0
        gateway.view.recent_targets.started_at -= 100.0
        gateway.sync.followed_since -= 100.0
        for fields in (headers, {"Last_Event_Id": "1"}):
            response = await self.call_engine(gateway, **fields)
            self.assertEqual((response.status, response.complete), (200, True))
            self.assertNotIn(b"id: 1\n", response.body)
            self.assertEqual(worker.calls[-1].headers["last-event-id"], "1")

    async def start_long_ago(self):
        """Return a gateway that has watched for longer than any request lasts."""
        await self.store.put("op/config", configuration())
        await self.start_worker("i-0", "engine")
        gateway = await self.start_gateway()
        gateway.view.recent_software.started_at -= 100.0
        gateway.view.recent_targets.started_at -= 100.0
        gateway.sync.followed_since -= 100.0
        return gateway

    async def resume_unknown(self, gateway):
        # A resume that goes on is known under its name from then on.
        headers = {"Last_Event_Id": "1", "Resumes": f"unseen-{next(self.attempts)}"}
        return await self.call_engine(gateway, **headers)

    async def test_a_lower_timeout_makes_no_older_stream_certain(self):
        gateway = await self.start_long_ago()
        other = await self.start_worker("j-0", "engine", software_version="v2")
        await self.wait_until(lambda: self._has_all_workers(gateway))
        await self.store.remove("servers/j-0")
        other.state = "gone"
        await self.wait_until(lambda: self._has_all_workers(gateway))
        ended = gateway.view.recent_software.ended
        ended["engine", "v2"] -= 15.0
        self.assertEqual((await self.resume_unknown(gateway)).status, 503)
        lowered = [{**r, "TimeoutMs": 2000} for r in configuration()["Routes"]]
        await self.store.put("op/config", configuration(2, Routes=lowered))
        await self.wait_until(lambda: gateway.view.configuration.version == 2)
        self.assertEqual((await self.resume_unknown(gateway)).status, 503)

    async def test_a_section_that_was_read_anew_may_have_missed_a_version(self):
        gateway = await self.start_long_ago()
        self.assertEqual((await self.resume_unknown(gateway)).status, 200)
        sync = gateway.sync
        (section,) = (s for s in gateway.mirror.sections if s.prefix == "servers/")
        sync.confirmed_at["servers/"] -= 2 * section.max_lag_s
        await sync._load(section)
        self.assertEqual((await self.resume_unknown(gateway)).status, 503)


class ReplayTest(DispatcherCase):
    """The product's own path, which replays a lost stream at another server."""

    def broken_then_unknown(self):
        return self.serve(
            broken_stream(3, lambda connection: connection.reset()),
            lambda connection: connection.respond(404),
        )

    def test_a_lost_stream_is_not_replayed_by_another_software_version(self):
        second = self.serve(full_stream(*EVENTS))
        setup = self.dispatch(
            self.broken_then_unknown(), second, software_versions=("v1", "v1.1")
        )
        response, outcome = setup.ask(model_request())
        self.assertFalse(response.complete)
        self.assertEqual(response.error()["verdict"], "may_have_run")
        self.assertIn("software version", response.error()["message"])
        self.assertEqual(second.requests, [])
        self.assertEqual(outcome.servers, ("engine-0",))

    def test_a_lost_stream_is_replayed_by_its_software_version(self):
        second = self.serve(full_stream(*EVENTS))
        setup = self.dispatch(
            self.broken_then_unknown(),
            second,
            self.serve(full_stream(*EVENTS)),
            software_versions=("v1", "v1.1", "v1"),
        )
        response, outcome = setup.ask(model_request())
        self.assertEqual(response.body, WHOLE)
        self.assertEqual(outcome.servers, ("engine-0", "engine-2"))
        self.assertEqual(second.requests, [])

    def ask_while_software_changes(self, second_script):
        """Break a stream, change its server's software version, and go on."""

        def change_software(connection):
            servers = setup.configuration.servers
            changed = replace(servers["engine-0"], software_version="v1.1")
            setup.configuration = replace(
                setup.configuration, servers={**servers, "engine-0": changed}
            )
            connection.wait_closed()

        server = self.serve(broken_stream(3, change_software), second_script)
        setup = self.dispatch(server, software_versions=("v1",))
        response, _ = setup.ask(model_request())
        self.assertEqual([request.offset for request in server.requests], [None, 3])
        return response

    def test_a_server_that_starts_a_stream_anew_may_have_changed_its_software(self):
        response = self.ask_while_software_changes(full_stream(*EVENTS))
        self.assertFalse(response.complete)
        self.assertTrue(response.body.startswith(b"".join(EVENTS[:3]) + b"data: {"))

    def test_a_server_that_resumes_a_stream_at_its_offset_is_the_one_that_began_it(
        self,
    ):
        def resume(connection):
            connection.stream_head(x_resume_offset=connection.request.offset)
            connection.events(*EVENTS[3:], DONE)
            connection.end()

        self.assertEqual(self.ask_while_software_changes(resume).body, WHOLE)
