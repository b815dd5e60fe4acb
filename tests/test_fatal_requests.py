"""Tests of requests that crash the servers that run them, sent by gateways."""

import asyncio
import itertools

from cassiaford.gateway._own_keys import OWN_PREFIX, SUSPECTS_PREFIX
from standins.platform_worker import Behaviour
from tests.platform_case import PROMPT_HEADERS, PlatformCase, configuration

FATAL_BODY = b"fatal"
# The limit on the fleet: crashes by one request until it is not sent any more.
MAX_CRASHES = 3
RECOVERY_S = 0.3


class FatalRequestCase(PlatformCase):
    """Runs workers that crash when they begin to run a request with the fatal body."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store.put("op/config", configuration())

    async def start_fragile_workers(self, service="desk", count=6):
        """Start workers that the fatal request crashes."""
        for number in range(count):
            worker = await self.start_worker(f"i-{number}", service)
            worker.fatal_bodies = frozenset({FATAL_BODY})
            worker.recovery_s = RECOVERY_S

    @property
    def crashes(self):
        """The number of crashes of all workers so far."""
        return sum(worker.crashes for worker in self.workers.values())

    async def wait_until_recovered(self):
        """Wait until every gateway knows every worker's new incarnation."""
        workers = self.workers.values()
        await self.wait_until(lambda: all(w.server.is_serving() for w in workers))
        running = {worker.server_id for worker in workers}
        await self.wait_until(
            lambda: all(self.known_servers(g) == running for g in self.gateways)
        )

    @staticmethod
    def known_servers(gateway):
        """Return the identifiers of the servers that a gateway may use."""
        services = gateway.view.servers.values()
        return {server.server_id for s in services for server in s.values()}

    async def send_fatal(self, gateway, path="/read/7", recovered=True, **headers):
        """Send the fatal request once more, as a new attempt of its caller."""
        response = await self.call(gateway, path, body=FATAL_BODY, **headers)
        if recovered:
            await self.wait_until_recovered()
        return response

    async def send_until_refused(self, gateways):
        """Send the fatal request to gateways in turn until all of them refuse it."""
        for gateway in itertools.cycle(gateways):
            if all(g.crashes.refused_count for g in gateways):
                return
            await self.send_fatal(gateway)

    async def assert_refused(self, gateway):
        """Check that a gateway refuses the fatal request without sending it."""
        runs = sum(len(worker.ran) for worker in self.workers.values())
        response = await self.call(gateway, "/read/7", body=FATAL_BODY)
        self.assertEqual(response.status, 502)
        self.assertNotIn("retry-after", response.headers)
        self.assertEqual(sum(len(w.ran) for w in self.workers.values()), runs)

    async def kill_gateway(self, gateway):
        """End a gateway without a drain, as a process that is killed."""
        self.gateways.remove(gateway)
        self.tasks[gateway].cancel()
        await gateway.close()

    def stored_suspects(self):
        """Return the keys of the suspects in the store."""
        return [key for key in self.store.items if key.startswith(SUSPECTS_PREFIX)]


class FleetTest(FatalRequestCase):
    async def test_a_fatal_request_that_returns_at_other_instances_is_not_sent_again(
        self,
    ):
        await self.start_fragile_workers()
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for gateway in gateways * 3:
            response = await self.send_fatal(gateway)
            self.assertGreaterEqual(response.status, 500)
            innocent = await self.call(gateway, "/read/8")
            self.assertEqual(innocent.status, 200)
        self.assertLessEqual(self.crashes, MAX_CRASHES)


class InstanceRestartTest(FatalRequestCase):
    async def test_a_restarted_instance_still_refuses_a_fatal_request(self):
        await self.start_fragile_workers()
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.send_until_refused(gateways)
        await self.kill_gateway(gateways[0])
        restarted = await self.start_gateway("entry-0")
        await self.wait_until(lambda: restarted.crashes.refused_count)
        await self.assert_refused(restarted)

    async def test_a_restart_of_all_instances_does_not_forget_a_fatal_request(self):
        await self.start_fragile_workers()
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        await self.send_until_refused(gateways)
        await self.wait_until(self.stored_suspects)
        for gateway in gateways:
            await self.kill_gateway(gateway)
        restarted = await self.start_gateway("entry-7")
        await self.assert_refused(restarted)

    async def test_a_restart_while_the_store_is_down_learns_from_peers(self):
        await self.start_fragile_workers()
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        self.store.faults.refuse = True
        while not all(g.crashes.refused_count for g in gateways):
            await self.send_fatal(gateways[0], recovered=False)
            await asyncio.sleep(RECOVERY_S)
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        await self.kill_gateway(gateways[0])
        restarted = await self.start_gateway("entry-0", ready=False)
        # Registering it with its peer stands in for the entry that it can't write.
        gateways[1].table.register(restarted.state, gateways[1].loop.time())
        await self.wait_until(lambda: restarted.crashes.refused_count)
        self.assertEqual(self.stored_suspects(), [])
        await self.wait_until(lambda: restarted.view.configuration)
        await self.assert_refused(restarted)


class StoreLossTest(FatalRequestCase):
    async def test_a_store_that_lost_the_record_gets_it_again(self):
        await self.start_fragile_workers()
        gateway = await self.start_gateway()
        copy = self.store.copy()
        await self.send_until_refused([gateway])
        await self.wait_until(self.stored_suspects)
        await self.wait_until(
            lambda: any(k.startswith(SUSPECTS_PREFIX) for k in self.mirrored(gateway))
        )
        await self.store.restore(copy)
        await self.wait_until(self.stored_suspects)

    @staticmethod
    def mirrored(gateway):
        """Return the gateways' own keys that a gateway has read."""
        return gateway.mirror.items[OWN_PREFIX]


class CutTest(FatalRequestCase):
    async def test_instances_cut_off_from_each_other_share_crashes_by_the_store(self):
        await self.start_fragile_workers(count=8)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for gateway in gateways:
            gateway.peers.datagram_received = lambda data, addr: None
        # Each group may meet the request once before the store tells of it.
        await self.send_until_refused(gateways)
        self.assertLessEqual(self.crashes, MAX_CRASHES + len(gateways) - 1)
        for gateway in gateways:
            await self.assert_refused(gateway)

    async def test_a_healed_cut_spreads_a_refusal_without_the_store(self):
        await self.start_fragile_workers()
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        self.store.faults.refuse = True
        lost = []
        receive = gateways[1].peers.datagram_received
        gateways[1].peers.datagram_received = lambda data, addr: lost.append(data)
        while not gateways[0].crashes.refused_count:
            await self.send_fatal(gateways[0], recovered=False)
            await asyncio.sleep(RECOVERY_S)
        self.assertFalse(gateways[1].crashes.refused_count)
        gateways[1].peers.datagram_received = receive
        await self.wait_until(lambda: gateways[1].crashes.refused_count)
        await self.assert_refused(gateways[1])

    async def test_a_lost_report_is_repeated(self):
        await self.start_fragile_workers()
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        receive = gateways[1].peers.datagram_received
        gateways[1].peers.datagram_received = lambda data, addr: None
        await self.send_fatal(gateways[0], recovered=False)
        gateways[1].peers.datagram_received = receive
        await self.wait_until(lambda: gateways[1].crashes.tracker.suspicions)


class EvidenceTest(FatalRequestCase):
    async def test_a_silent_server_counts_as_crashed_once_its_entry_is_gone(self):
        await self.start_fragile_workers(count=1)
        gateway = await self.start_gateway()
        self.workers["i-0"].behaviours = [Behaviour.HANG]
        await self.call(gateway, "/read/1", X_Deadline_Ms="300")
        self.assertEqual(gateway.crashes.tracker.suspicions, {})
        await self.store.remove("servers/i-0")
        await self.wait_until(lambda: gateway.crashes.tracker.suspicions)

    async def test_a_server_that_leaves_after_draining_has_not_crashed(self):
        await self.start_fragile_workers(count=1)
        gateway = await self.start_gateway()
        worker = self.workers["i-0"]
        worker.behaviours = [Behaviour.HANG]
        await self.call(gateway, "/read/1", X_Deadline_Ms="300")
        worker.state = "draining"
        await self.register(worker)
        await self.wait_until(lambda: not gateway.view.servers)
        await self.store.remove("servers/i-0")
        await self.wait_until(lambda: not gateway.view.registry.servers)
        self.assertEqual(gateway.crashes.tracker.suspicions, {})

    async def test_a_server_that_starts_again_under_its_identifier_has_crashed(self):
        await self.start_fragile_workers(count=1)
        gateway = await self.start_gateway()
        worker = self.workers["i-0"]
        worker.behaviours = [Behaviour.HANG]
        await self.call(gateway, "/read/1", X_Deadline_Ms="300")
        await self.store.put("servers/i-0", {**worker.entry(), "born": 1700})
        await self.wait_until(lambda: gateway.crashes.tracker.suspicions)


class InnocentRequestTest(FatalRequestCase):
    async def test_requests_beside_a_fatal_one_are_served_and_never_refused(self):
        await self.start_fragile_workers("engine", count=6)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(3)]
        for worker in self.workers.values():
            worker.pause_s = 0.05
        for number, gateway in enumerate(gateways * 2):
            innocents = [
                asyncio.create_task(self.send_innocent(peer, f"{number}-{n}"))
                for n, peer in enumerate(gateways * 3)
            ]
            await asyncio.sleep(0.02)
            await self.send_fatal(gateway, "/ask/7", **PROMPT_HEADERS)
            for response in await asyncio.gather(*innocents):
                self.assertTrue(response.complete)
                self.assertEqual(response.status, 200)
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        for gateway in gateways:
            await self.wait_until(lambda g=gateway: g.crashes.refused_count == 1)

    async def send_innocent(self, gateway, name):
        """Send a stream as a caller that retries a failed request once."""
        for _ in range(2):
            response = await self.call_engine(
                gateway, f"/ask/{name}", body=name.encode()
            )
            if response.complete and response.status == 200:
                break
        return response

    async def test_a_request_whose_connections_break_at_live_servers_is_no_suspect(
        self,
    ):
        await self.start_fragile_workers(count=3)
        gateway = await self.start_gateway()
        for worker in self.workers.values():
            worker.behaviours = [Behaviour.RESET] * 3
        for _ in range(4):
            await self.call(gateway, "/read/1", body=b"innocent")
        self.assertEqual(gateway.crashes.tracker.suspicions, {})
        self.assertEqual(self.crashes, 0)

    async def test_a_suspect_that_completes_is_cleared_at_all_instances(self):
        await self.start_fragile_workers(count=3)
        gateways = [await self.start_gateway(f"entry-{n}") for n in range(2)]
        worker = self.workers["i-0"]
        for other in self.workers.values():
            other.behaviours = [Behaviour.SLOW]
        call = asyncio.create_task(self.call(gateways[0], "/read/1", body=b"beside"))
        await self.wait_until(lambda: any(w.ran for w in self.workers.values()))
        (worker,) = (w for w in self.workers.values() if w.ran)
        for other in self.workers.values():
            other.behaviours = []
        worker.crash()
        self.assertEqual((await call).status, 200)
        for gateway in gateways:
            await self.wait_until(lambda g=gateway: not g.crashes.tracker.suspicions)
