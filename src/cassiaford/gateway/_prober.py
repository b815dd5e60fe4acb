"""Probes of backend servers and prefix stores that could not be reached."""

import asyncio
from collections.abc import Callable

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._server_connection import ConnectionPool, ExchangeError
from cassiaford.gateway._view import View, server_key
from cassiaford.gateway.policy import ServerHealth
from cassiaford.logs import Event

# A backend server in the same region accepts a connection within milliseconds;
# a lost packet fails one probe, but hardly two in a row.
PROBE_TIMEOUT_S = 0.4
# The delay between probes doubles from the first to the second of these.
FIRST_PROBE_DELAY_S = 0.2
MAX_PROBE_DELAY_S = 1.5
# An engine that fetches from a failed store loses some hundred milliseconds,
# so stores are probed independently of requests.
STORE_PROBE_INTERVAL_S = 0.8


class PrefixStoreProber:
    """Detects which prefix stores cannot be reached."""

    def __init__(self, view: View, pool: ConnectionPool, log: EventLog):
        self.view = view
        self.pool = pool
        self.log = log
        self.unreachable: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Probe every store at intervals until cancelled."""
        while True:
            configuration = self.view.configuration
            stores = configuration.prefix_stores if configuration else ()
            unreachable = [
                s.address for s in stores if not await self._is_reachable(s.address)
            ]
            self._update(frozenset(unreachable))
            await asyncio.sleep(STORE_PROBE_INTERVAL_S)

    async def _is_reachable(self, address):
        try:
            connection = await self.pool.connect(address, PROBE_TIMEOUT_S)
        except ExchangeError:
            # The failure is the result of the probe, so it is not logged.
            return False
        connection.close()
        return True

    def _update(self, unreachable):
        for address in unreachable - self.unreachable:
            self.log.write(Event.PREFIX_STORE_LOST, address=address)
        for address in self.unreachable - unreachable:
            self.log.write(Event.PREFIX_STORE_RECOVERED, address=address)
        self.unreachable = unreachable


class ServerProber:
    """Detects when a server can be reached again, without using requests.

    The gateway sets `on_refused`, which is called with a server on whose
    machine no process listens any more.
    """

    def __init__(
        self, view: View, health: ServerHealth, pool: ConnectionPool, log: EventLog
    ):
        self.view = view
        self.health = health
        self.pool = pool
        self.log = log
        self.on_refused: Callable[[BackendServer], None] = lambda server: None
        self.tasks: dict[int, asyncio.Task] = {}
        self._first_results: dict[int, asyncio.Event] = {}
        self._now = asyncio.get_running_loop().time

    @property
    def unreachable(self) -> frozenset[int]:
        """The servers that this instance cannot reach, by key."""
        return frozenset(self.health.unreachable_servers)

    def record_unreachable(self, server: BackendServer) -> None:
        """Record that a server could not be reached, and probe it until it can."""
        key = server_key(server)
        self.health.record_unreachable(key, self._now())
        self.pool.close_idle(server.address)
        self.log.write(Event.SERVER_SUSPECTED, server=server.server_id)
        self._start(key)

    def probe(self, server: BackendServer) -> None:
        """Probe a server that may have ended, without a backoff until it fails."""
        self._start(server_key(server))

    def probe_reported(self, keys: frozenset[int]) -> None:
        """Probe the servers that a peer reports as unreachable."""
        for key in keys - self.health.unreachable_servers:
            if not self.health.succeeded_recently(key, self._now()):
                self._start(key)

    async def first_result(self, server: BackendServer) -> None:
        """Wait until the first attempt of a server's latest probe has ended."""
        result = self._first_results.get(server_key(server))
        if result is not None:
            await result.wait()

    def _start(self, key):
        task = self.tasks.get(key)
        if task is None or task.done():
            first_result = self._first_results[key] = asyncio.Event()
            self.tasks[key] = asyncio.create_task(self._probe(key, first_result))

    async def _probe(self, key, first_result):
        try:
            await self._connect_until_reachable(key, first_result)
        finally:
            first_result.set()

    async def _connect_until_reachable(self, key, first_result):
        delay_s = FIRST_PROBE_DELAY_S
        while (server := self._server(key)) is not None:
            try:
                connection = await self.pool.connect(server.address, PROBE_TIMEOUT_S)
            except ExchangeError as error:
                self.health.record_unreachable(key, self._now())
                if error.refused:
                    self.on_refused(server)
                first_result.set()
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_PROBE_DELAY_S)
                continue
            self.pool.add_idle(server.address, connection)
            if key in self.health.unreachable_servers:
                self.log.write(Event.SERVER_REACHABLE, server=server.server_id)
            self.health.record_reachable(key)
            return

    def _server(self, key):
        for servers in self.view.servers.values():
            if key in servers:
                return servers[key]
        return None
