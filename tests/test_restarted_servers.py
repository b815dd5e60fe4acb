"""Tests of servers that start again with other software before their entries tell.

Such a server keeps its identifier and address, so its entry is wrong until the
instance has read the new one. Each test names the stream that went on at the
software version of the former start.
"""

from standins.platform_worker import Behaviour
from tests.platform_case import ResumingCaller
from tests.test_software_versions import FIRST_EVENT_END, SoftwareVersionCase

OTHER_VERSION = "v1.2"


class RestartedServerTest(SoftwareVersionCase):
    async def register_start(self, worker, born=1):
        """Write the entry of a worker's new start, and wait until it is read."""
        entry = {**worker.entry(), "born": born}
        await self.store.put(f"servers/{worker.server_id}", entry)
        key = f"servers/{worker.server_id}"
        servers = self.gateway.view.registry.servers
        await self.wait_until(lambda: servers[key].started_at == born)

    async def begin_at_unread_start(self):
        """Return a caller whose stream a start began that is not in the store."""
        chosen = await self.first_choice()
        former = chosen.software_version
        chosen.software_version = OTHER_VERSION
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        caller = ResumingCaller(self)
        await caller.attempt(self.gateway, until=FIRST_EVENT_END)
        self.assertEqual(caller.events, [(1, OTHER_VERSION)])
        mates = [w for w in self.old + self.new if w.software_version == former]
        self.assertEqual(len(mates), 1)
        return caller, chosen

    async def test_a_stream_that_an_unread_start_began_is_not_taken_up_elsewhere(self):
        caller, chosen = await self.begin_at_unread_start()
        await self.register_start(chosen)
        await caller.attempt(self.gateway)
        self.assertEqual(caller.software_versions, {OTHER_VERSION})

    async def test_it_is_not_taken_up_elsewhere_if_the_former_entry_lapsed(self):
        caller, chosen = await self.begin_at_unread_start()
        await self.store.remove(f"servers/{chosen.server_id}")
        await self.register_start(chosen)
        await caller.attempt(self.gateway)
        self.assertEqual(caller.software_versions, {OTHER_VERSION})

    async def test_an_answer_that_an_unread_start_began_does_not_go_on_elsewhere(self):
        chosen = await self.first_choice()
        chosen.software_version = OTHER_VERSION
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        caller = ResumingCaller(self)
        attempt = self.gateway.loop.create_task(caller.attempt(self.gateway))
        held = self.gateway.origins.origins
        await self.wait_until(lambda: len(held) == 2)
        await self.register_start(chosen)
        chosen.crash()
        await attempt
        self.assertEqual(caller.software_versions, {OTHER_VERSION})

    async def test_an_entry_that_is_read_before_the_first_event_counts(self):
        chosen = await self.first_choice()
        chosen.software_version = OTHER_VERSION
        chosen.behaviours = [Behaviour.QUEUE_AFTER_HEAD]
        caller = ResumingCaller(self)
        attempt = self.gateway.loop.create_task(
            caller.attempt(self.gateway, until=FIRST_EVENT_END)
        )
        await self.wait_until(lambda: len(chosen.calls) == 2)
        await self.register_start(chosen)
        chosen.released.set()
        await attempt
        self.assertEqual(caller.software_versions, {OTHER_VERSION})
        self.assertFalse(caller.finished)
        await caller.attempt(self.gateway)
        self.assertEqual(caller.software_versions, {OTHER_VERSION})

    async def test_a_server_that_was_down_gets_no_resume_before_its_entry_is_sure(self):
        chosen = await self.first_choice()
        former = chosen.software_version
        mate = self.mate_of(chosen)
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        caller = ResumingCaller(self)
        await caller.attempt(self.gateway, until=FIRST_EVENT_END)
        key = self.key_of(mate)
        mate.crash()
        self.gateway.prober.record_unreachable(self.gateway.view.servers["engine"][key])
        await self.gateway.prober.first_result(self.gateway.view.servers["engine"][key])
        mate.software_version = OTHER_VERSION
        await mate.start()
        await self.remove(chosen)
        await caller.attempt(self.gateway)
        self.assertEqual(caller.software_versions, {former})

    async def test_a_stream_is_taken_up_after_a_restart_with_the_same_software(self):
        chosen = await self.first_choice()
        former = chosen.software_version
        chosen.behaviours = [Behaviour.HOLD_STREAM]
        caller = ResumingCaller(self)
        await caller.attempt(self.gateway, until=FIRST_EVENT_END)
        await self.register_start(chosen)
        await caller.attempt(self.gateway)
        self.assertTrue(caller.finished)
        self.assertEqual(caller.software_versions, {former})
