"""A gateway in a process of its own, before one engine, with a still store."""

import asyncio
import json
import sys

from cassiaford.gateway import (
    Changes,
    Committed,
    ConnectionPool,
    Gateway,
    GatewayAddresses,
    GatewaySettings,
    Item,
    Page,
    RetryLimits,
    SharedStore,
)
from cassiaford.logs import configure_logging
from cassiaford.platform import create_adapter
from tests.platform_case import configuration, free_port, route

# Room for every stream at once, so that none is refused.
ENGINE = {"Slots": 512, "KvCapacityTokens": 10_000_000, "Models": [{"Name": "tare"}]}
SERVICE = {"Name": "engine", "MaxConnections": 512, "Engine": ENGINE}


class StillStore(SharedStore):
    """Holds one configuration and one engine, and never changes."""

    def __init__(self, engine_address: str):
        self.items = {
            "op/config": configuration(
                Routes=[route("ask", "/v1/", "streaming", "engine", TimeoutMs=60_000)],
                Services=[SERVICE],
                Tenants=[],
            ),
            "servers/e1": {
                "Service": "engine",
                "Address": engine_address,
                "Zone": "a",
                "Slots": 512,
                "State": "ready",
                "Models": [{"Name": "tare", "Version": 1}],
            },
        }

    async def read(self, prefix):
        """Return the items below a prefix."""
        items = tuple(
            Item(key, json.dumps(value).encode(), 1)
            for key, value in self.items.items()
            if key.startswith(prefix)
        )
        return Page(items, 1)

    async def watch(self, prefix, after, wait_s):
        """Wait; nothing changes."""
        await asyncio.sleep(wait_s)
        return Changes((), after)

    async def transact(self, conditions, writes):
        """Take note of nothing."""
        return Committed(1)

    async def remove(self, key, revision):
        """Take note of nothing."""
        return Committed(1)

    async def grant_lease(self, time_to_live_s):
        """Return a lease."""
        return 1

    async def renew_lease(self, lease):
        """Take note of nothing."""

    async def end_lease(self, lease):
        """Take note of nothing."""


async def serve(engine_address):
    """Serve until standard input ends; print the port first."""
    ports = [free_port() for _ in range(5)]
    settings = GatewaySettings(
        instance="entry-1",
        data_centre="a",
        addresses=GatewayAddresses(*(f"127.0.0.1:{port}" for port in ports)),
        store_address="",
        retry_limits=RetryLimits(0.2, 50, 10),
        rate_window_s=8.0,
        weights_within_s=6.0,
        drain_s=1.0,
        directory_ttl_s=1.0,
    )
    pool = ConnectionPool()
    world = create_adapter("127.0.0.1:9", pool)
    world.store = StillStore(engine_address)
    gateway = Gateway(settings, world)
    running = asyncio.create_task(gateway.run())
    while not gateway.ready:
        await asyncio.sleep(0.01)
    print(ports[0], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    running.cancel()
    await gateway.close()


if __name__ == "__main__":
    configure_logging("json", "warning")
    asyncio.run(serve(sys.argv[1]))
