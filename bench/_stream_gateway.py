"""A gateway process in front of one engine, with a store that never changes."""

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
from tests.platform_case import configuration, reserve_port, route

# Enough slots and connections for all streams at once, so that none is refused.
ENGINE = {"Slots": 512, "KvCapacityTokens": 10_000_000, "Models": [{"Name": "tare"}]}
SERVICE = {"Name": "engine", "MaxConnections": 512, "Engine": ENGINE}


class StaticStore(SharedStore):
    """Store of one configuration and one engine that never changes."""

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
        """Wait and return no changes."""
        await asyncio.sleep(wait_s)
        return Changes((), after)

    async def transact(self, conditions, writes):
        """Return a commit without storing anything."""
        return Committed(1)

    async def remove(self, key, revision):
        """Return a commit without removing anything."""
        return Committed(1)

    async def grant_lease(self, time_to_live_s):
        """Return the same lease for every call."""
        return 1

    async def renew_lease(self, lease):
        """Do nothing."""

    async def end_lease(self, lease):
        """Do nothing."""


async def serve(engine_address):
    """Print the port, then serve until standard input ends."""
    reserved = [reserve_port() for _ in range(5)]
    ports = [sock.getsockname()[1] for sock in reserved]
    settings = GatewaySettings(
        instance="entry-1",
        data_centre="a",
        addresses=GatewayAddresses(*(f"127.0.0.1:{port}" for port in ports)),
        store_address="",
        retry_limits=RetryLimits(0.2, 50, 10),
        rate_window_s=8.0,
        changes_within_s=2.0,
        weights_within_s=6.0,
        drain_s=1.0,
        directory_ttl_s=1.0,
        first_start=True,
    )
    pool = ConnectionPool()
    adapter = create_adapter("127.0.0.1:9", pool)
    adapter.store = StaticStore(engine_address)
    gateway = Gateway(settings, adapter)
    gateway_task = asyncio.create_task(gateway.run())
    while not gateway.ready:
        await asyncio.sleep(0.01)
    print(ports[0], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    gateway_task.cancel()
    await gateway.close()
    for sock in reserved:
        sock.close()


if __name__ == "__main__":
    configure_logging("json", "warning")
    asyncio.run(serve(sys.argv[1]))
