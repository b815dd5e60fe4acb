"""Tests of calls over pooled connections that have all gone silent."""

import asyncio
import random
import unittest
import unittest.mock

from cassiaford.gateway import StoreError
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._http_caller import HttpClient
from cassiaford.gateway._mirror import Mirror, MirrorListener, MirrorSync, Section
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.platform import _store
from cassiaford.platform._store import PlatformStore

PAGE = b'{"items": [], "Events": [], "Truncated": false, "StoreRevision": 7}'


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A store whose open connections carry nothing more, while new ones work."""

    async def asyncSetUp(self):
        self.connections = 0
        self.silent_up_to = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)
        self.store = PlatformStore(self.address, HttpClient(self.pool))

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if number <= self.silent_up_to:
                    continue
                # Some calls at once need a connection each.
                await asyncio.sleep(0.01)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(PAGE)}\r\n\r\n"
                writer.write(head.encode() + PAGE)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def open_and_silence(self, number):
        """Open connections, which are idle then, and silence them."""
        await asyncio.gather(*(self.read() for _ in range(number)))
        self.assertEqual(self.connections, number)
        self.silent_up_to = number
        # A connection is used again only after a short rest.
        await asyncio.sleep(0.02)

    async def read(self):
        page = await self.store.read("op/")
        self.assertEqual(page.revision, 7)

    async def test_one_call_without_a_response_ends_the_use_of_idle_connections(self):
        await self.open_and_silence(4)
        with (
            unittest.mock.patch.object(_store, "TIMEOUT_S", 0.05),
            self.assertRaises(StoreError),
        ):
            await self.read()
        await self.read()

    async def test_one_watch_without_a_response_ends_the_use_of_idle_connections(self):
        await self.open_and_silence(4)
        log = EventLog("entry-1", 1)
        log.write = lambda event, **details: None
        section = Section("op/", max_lag_s=0.1)
        mirror = Mirror((section,), _Listener())
        sync = MirrorSync(mirror, self.store, random.Random(1), log)
        with self.assertRaises(StoreError):
            await sync._watch(section)
        await self.read()


class _Listener(MirrorListener):
    def on_change(self, change):
        pass

    def on_store_lost(self, cause):
        pass

    def on_store_present(self):
        pass

    def on_store_recovered(self):
        pass


if __name__ == "__main__":
    unittest.main()
