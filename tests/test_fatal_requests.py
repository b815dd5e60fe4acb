"""Tests of requests that crash the servers that run them, sent by gateways."""

from tests.platform_case import PlatformCase, configuration

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

    async def send_fatal(self, gateway):
        """Send the fatal request once more, as a new attempt of its caller."""
        response = await self.call(gateway, "/read/7", body=FATAL_BODY)
        await self.wait_until_recovered()
        return response


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
