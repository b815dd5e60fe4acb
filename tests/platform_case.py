"""A gateway on stand-ins of the platform, for tests in one process."""

import asyncio
import contextlib
import itertools
import random
import socket
import unittest

from cassiaford.gateway import (
    ConnectionPool,
    Gateway,
    GatewayAddresses,
    GatewaySettings,
    RetryLimits,
)
from cassiaford.platform import create_adapter
from standins.platform_store import PlatformStore
from standins.platform_worker import PlatformWorker

# Tests wait for what must happen; this only ends a test that hangs.
PATIENCE_S = 30.0
KEY = "key-of-academy"
MODEL = "m1"
# The headers of a request for tokens, with underscores for hyphens.
PROMPT = {
    "X_Model": MODEL,
    "X_Token_Count": "1200,10",
    "X_Prompt_Prefix": "aa:300,bb:600,cc:300",
}


def free_port() -> int:
    """Return a port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def route(name, prefix, kind, service, **fields):
    """Return a route as operators write it."""
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 10_000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **fields,
    }


def configuration(version=1, **fields):
    """Return a configuration as operators write it."""
    return {
        "Version": version,
        "Routes": [
            route("book", "/book/", "unsafe", "desk"),
            route("read", "/read/", "safe", "desk"),
            route("ask", "/ask/", "streaming", "engine", Resumable=True),
            route("mark", "/mark/", "streaming", "engine", MaxAttempts=1),
        ],
        "Services": [
            {"Name": "desk", "MaxConnections": 90},
            {
                "Name": "engine",
                "MaxConnections": 90,
                "Engine": {
                    "Slots": 8,
                    "KvCapacityTokens": 100_000,
                    "KvTokenBytes": 1000,
                    "LinkMbps": 1000.0,
                    "Models": [{"Name": MODEL}],
                },
            },
        ],
        "Limits": {"MaxBodyBytes": 100_000, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "academy", "ApiKeys": [KEY], "Unit": "tokens"}],
        **fields,
    }


class Answer:
    """A response that a caller has read to its end."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, workers and gateways, and calls as a caller does."""

    async def asyncSetUp(self):
        self.store = await PlatformStore().start()
        self.addAsyncCleanup(self.store.stop)
        self.attempts = itertools.count(1)
        self.gateways = []
        self.workers = {}

    async def start_worker(self, server_id, service, **fields):
        """Start a worker and register it."""
        worker = PlatformWorker(server_id, service, **fields)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        if service == "engine":
            worker.versions = {MODEL: 1}
        self.workers[server_id] = worker
        await self.register(worker)
        return worker

    async def register(self, worker):
        """Write a worker's entry."""
        await self.store.put(f"servers/{worker.server_id}", worker.entry())

    async def start_gateway(self, name="entry-1", ready=True, **fields):
        """Start a gateway; wait until it is ready and knows every worker."""
        settings = GatewaySettings(
            instance=name,
            data_centre="a",
            addresses=GatewayAddresses(*(f"127.0.0.1:{free_port()}" for _ in range(5))),
            store_address=self.store.address,
            retry_limits=RetryLimits(ratio=0.2, slack=50, window_s=10),
            rate_window_s=8.0,
            weights_within_s=6.0,
            drain_s=fields.pop("drain_s", 4.0),
            directory_ttl_s=1.0,
        )
        world = create_adapter(self.store.address, ConnectionPool())
        gateway = Gateway(settings, world, random.Random(name))
        task = asyncio.create_task(gateway.run())
        self.gateways.append(gateway)
        self.addAsyncCleanup(self._end, task, gateway)
        if ready:
            await self.until(lambda: gateway.ready and self._knows_workers(gateway))
        return gateway

    async def until(self, condition):
        """Wait until something is so."""
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(self, gateway, path, method="POST", body=b"{}", **headers):
        """Send a request as a caller and return the answer."""
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request(path, method, body, **headers))
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await read_answer(reader)
        finally:
            writer.close()

    def request(self, path, method="POST", body=b"{}", attempt=None, **headers):
        """Return the bytes of a request."""
        fields = {
            "Host": "a.example",
            "X-Attempt-Id": attempt or f"attempt-{next(self.attempts)}",
            "X-Deadline-Ms": "8000",
            "X-Key": KEY,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    async def ask(self, gateway, path="/ask/1", **headers):
        """Send a request for tokens."""
        return await self.call(gateway, path, **{**PROMPT, **headers})

    def _knows_workers(self, gateway):
        known = sum(len(servers) for servers in gateway.view.servers.values())
        return known == sum(w.state == "ready" for w in self.workers.values())

    async def _end(self, task, gateway):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await gateway.close()


async def read_answer(reader):
    """Return an answer; `complete` is false if it breaks off."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body, complete = await _read_body(reader, headers), True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        body, complete = getattr(error, "partial", b""), False
    return Answer(status, headers, body, complete)


async def _read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


__all__ = [
    "KEY",
    "MODEL",
    "PROMPT",
    "PlatformCase",
    "configuration",
    "read_answer",
    "route",
]
