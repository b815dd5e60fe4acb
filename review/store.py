"""The project's stand-in for the platform's store, with leases of the granted time."""

import asyncio

from standins.platform_store import PlatformStore


class Store(PlatformStore):
    """A store whose leases last as long as they were granted for.

    While it is `away` it accepts no connections. `waiting` are the connections on
    which a watch waits, with its prefix.
    """

    def __init__(self):
        super().__init__()
        self.away = False
        self.granted_s: dict[int, float] = {}
        self.connections: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self.waiting: dict[asyncio.Task, tuple[str, asyncio.StreamWriter]] = {}

    def cut_watches(self) -> list[str]:
        """Close the connections on which a watch waits; return their prefixes."""
        waiting, self.waiting = self.waiting, {}
        for _, writer in waiting.values():
            writer.close()
        return sorted(prefix for prefix, _ in waiting.values())

    async def go_away(self) -> None:
        """Reset every connection, and every new one until `come_back`."""
        self.away = True
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def come_back(self, copy) -> None:
        """Serve again, from an older copy."""
        await self.restore(copy)
        # Identifiers of leases are given out again.
        self.granted_s = {k: v for k, v in self.granted_s.items() if k in self.leases}
        self.away = False

    async def serve(self, reader, writer):
        """Handle calls until the connection is closed."""
        if self.away:
            writer.transport.abort()
            return
        self.connections[asyncio.current_task()] = writer
        try:
            await super().serve(reader, writer)
        finally:
            del self.connections[asyncio.current_task()]

    async def _watch(self, query):
        task = asyncio.current_task()
        self.waiting[task] = query["PathPrefix"], self.connections[task]
        try:
            return await super()._watch(query)
        finally:
            self.waiting.pop(task, None)

    def _extend_lease(self, lease, ttl_s):
        # The project's stand-in renews each lease for ten seconds.
        ttl_s = self.granted_s.setdefault(lease, ttl_s)
        self.leases[lease] = asyncio.get_running_loop().time() + ttl_s

    async def expire(self) -> None:
        """Remove the keys of ended leases until cancelled."""
        while True:
            async with self.changed:
                before = self.revision
                self._expire_due_leases()
                if self.revision != before:
                    self.changed.notify_all()
            await asyncio.sleep(0.05)
