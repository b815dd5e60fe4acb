"""Trying connections to backend servers that could not be reached."""

import asyncio

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._server_connection import ConnectionPool, ExchangeError
from cassiaford.gateway._view import View, server_key
from cassiaford.gateway.policy import ServerHealth
from cassiaford.logs import Event

# A backend server in the same region accepts a connection within milliseconds;
# a lost packet is not taken for a lost server twice in a row.
PROBE_TIME_OUT_S = 0.4
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5
# An engine that fetches from a dead store loses some hundred milliseconds, so
# stores are tried this often, beside requests.
STORE_EVERY_S = 0.8


class PrefixStoreProber:
    """Finds out which stores for prefixes cannot be reached."""

    def __init__(self, view: View, pool: ConnectionPool, log: EventLog):
        self.view = view
        self.pool = pool
        self.log = log
        self.unreachable: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Try every store, again and again, until cancelled."""
        while True:
            configuration = self.view.configuration
            stores = configuration.prefix_stores if configuration else ()
            away = [s.address for s in stores if not await self._reachable(s.address)]
            self._take_in(frozenset(away))
            await asyncio.sleep(STORE_EVERY_S)

    async def _reachable(self, address):
        try:
            connection = await self.pool.connect(address, PROBE_TIME_OUT_S)
        except ExchangeError:
            # That it cannot be reached is the answer.
            return False
        connection.close()
        return True

    def _take_in(self, away):
        for address in away - self.unreachable:
            self.log.write(Event.PREFIX_STORE_LOST, address=address)
        for address in self.unreachable - away:
            self.log.write(Event.PREFIX_STORE_RECOVERED, address=address)
        self.unreachable = away


class ServerProber:
    """Finds out when a server can be reached again, so that no request has to."""

    def __init__(
        self, view: View, trust: ServerHealth, pool: ConnectionPool, log: EventLog
    ):
        self.view = view
        self.trust = trust
        self.pool = pool
        self.log = log
        self.tasks: dict[int, asyncio.Task] = {}
        self._now = asyncio.get_running_loop().time

    @property
    def unreachable(self) -> frozenset[int]:
        """The servers that this instance cannot reach, by key."""
        return frozenset(self.trust.unreachable_servers)

    def record_unreachable(self, server: BackendServer) -> None:
        """Take note that a server could not be reached; try it until it can."""
        key = server_key(server)
        self.trust.unreachable(key, self._now())
        self.pool.close_idle(server.address)
        self.log.write(Event.SERVER_SUSPECTED, server=server.server_id)
        self._start(key)

    def probe_reported(self, keys: frozenset[int]) -> None:
        """Try servers that a peer cannot reach, before a request has to."""
        for key in keys - self.trust.unreachable_servers:
            if not self.trust.answered_lately(key, self._now()):
                self._start(key)

    def _start(self, key):
        task = self.tasks.get(key)
        if task is None or task.done():
            self.tasks[key] = asyncio.create_task(self._probe(key))

    async def _probe(self, key):
        pause_s = FIRST_PAUSE_S
        while (server := self._server(key)) is not None:
            try:
                connection = await self.pool.connect(server.address, PROBE_TIME_OUT_S)
            except ExchangeError:
                self.trust.unreachable(key, self._now())
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
                continue
            self.pool.add_idle(server.address, connection)
            if key in self.trust.unreachable_servers:
                self.log.write(Event.SERVER_REACHABLE, server=server.server_id)
            self.trust.reachable(key)
            return

    def _server(self, key):
        for servers in self.view.servers.values():
            if key in servers:
                return servers[key]
        return None
