"""A test case that runs gateways on stand-ins of the platform in one process."""

import asyncio
import contextlib
import itertools
import random
import re
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

# Tests wait for conditions without a timeout of their own; this one ends a hung test.
HANG_TIMEOUT_S = 30.0
API_KEY = "key-of-academy"
MODEL = "m1"
# The headers of a request to an engine, with underscores instead of hyphens.
PROMPT_HEADERS = {
    "X_Model": MODEL,
    "X_Token_Count": "1200,10",
    "X_Prompt_Prefix": "aa:300,bb:600,cc:300",
}


def reserve_port() -> socket.socket:
    """Return a socket that keeps its port from all who do not bind to it by number.

    A server can listen on the port meanwhile, since both allow reuse and this
    socket never listens.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def route(name, prefix, kind, service, **fields):
    """Return a route in the operators' format."""
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
    """Return a configuration in the operators' format."""
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
        "Tenants": [{"Name": "academy", "ApiKeys": [API_KEY], "Unit": "tokens"}],
        **fields,
    }


class Response:
    """A response as read by a caller."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Runs a store, workers and gateways, and sends requests as a caller."""

    async def asyncSetUp(self):
        self.store = await PlatformStore().start()
        self.addAsyncCleanup(self.store.stop)
        self.attempts = itertools.count(1)
        self.gateways = []
        self.tasks = {}
        self.workers = {}

    async def start_worker(self, server_id, service, **fields):
        """Start and register a worker."""
        worker = PlatformWorker(server_id, service, **fields)
        worker.on_restart = lambda previous: self._register_again(worker, previous)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        if service == "engine":
            worker.versions = {MODEL: 1}
        self.workers[server_id] = worker
        await self.register(worker)
        return worker

    def reserve_address(self):
        """Return an address that stays free for this test."""
        sock = reserve_port()
        self.addCleanup(sock.close)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    async def register(self, worker):
        """Write a worker's entry to the store."""
        await self.store.put(f"servers/{worker.server_id}", worker.entry())

    async def _register_again(self, worker, previous):
        await self.store.remove(f"servers/{previous}")
        await self.register(worker)

    async def start_gateway(self, name="entry-1", ready=True, **fields):
        """Start a gateway and wait until it is ready and has every worker's entry."""
        settings = GatewaySettings(
            instance=name,
            data_centre="a",
            addresses=GatewayAddresses(*(self.reserve_address() for _ in range(5))),
            store_address=self.store.address,
            retry_limits=RetryLimits(ratio=0.2, slack=50, window_s=10),
            changes_within_s=2.0,
            rate_window_s=8.0,
            weights_within_s=6.0,
            drain_s=fields.pop("drain_s", 4.0),
            directory_ttl_s=1.0,
            first_start=fields.pop("first_start", True),
        )
        adapter = create_adapter(self.store.address, ConnectionPool())
        gateway = Gateway(settings, adapter, random.Random(name))
        task = asyncio.create_task(gateway.run())
        self.gateways.append(gateway)
        self.tasks[gateway] = task
        self.addAsyncCleanup(self._stop_gateway, task, gateway)
        if ready:
            await self.wait_until(
                lambda: gateway.ready and self._has_all_workers(gateway)
            )
        return gateway

    async def wait_until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self, gateway, path, method="POST", body=b"{}", until=b"", **headers
    ):
        """Send a request as a caller and return the response.

        The caller leaves once the body has the bytes `until`.
        """
        host, _, port = gateway.settings.addresses.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(self.request(path, method, body, **headers))
        try:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await read_response(reader, until)
        finally:
            writer.close()

    def request(self, path, method="POST", body=b"{}", attempt=None, **headers):
        """Return the bytes of a request."""
        fields = {
            "Host": "a.example",
            "X-Attempt-Id": attempt or f"attempt-{next(self.attempts)}",
            "X-Deadline-Ms": "8000",
            "X-Key": API_KEY,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    async def call_engine(self, gateway, path="/ask/1", **headers):
        """Send a request to an engine and return the response."""
        return await self.call(gateway, path, **{**PROMPT_HEADERS, **headers})

    def _has_all_workers(self, gateway):
        server_count = sum(len(servers) for servers in gateway.view.servers.values())
        return server_count == sum(w.state == "ready" for w in self.workers.values())

    async def _stop_gateway(self, task, gateway):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await gateway.close()


_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+)\n\n")


class ResumingCaller:
    """A caller that takes its stream up at any instance, as often as it is told.

    `events` are the identifiers of its events and the software versions that
    made them, in the order of their arrival.
    """

    def __init__(self, case, path="/ask/1", **headers):
        self.case = case
        self.path = path
        self.headers = headers
        self.events: list[tuple[int, str]] = []
        self.first_attempt: str | None = None
        self.finished = False

    @property
    def software_versions(self):
        """The software versions whose events the stream holds."""
        return {version for _, version in self.events}

    async def attempt(self, gateway, until=b"", **headers):
        """Begin the stream or take it up; leave once `until` has arrived."""
        attempt = f"attempt-{next(self.case.attempts)}"
        if self.events:
            headers = {
                "Last_Event_Id": str(self.events[-1][0]),
                "Resumes": self.first_attempt,
                **headers,
            }
        response = await self.case.call_engine(
            gateway, self.path, attempt=attempt, until=until, **self.headers, **headers
        )
        arrived = [
            (int(number), version.decode())
            for number, version in _EVENT.findall(response.body)
        ]
        if arrived and self.first_attempt is None:
            self.first_attempt = attempt
        self.events += arrived
        self.finished = response.status == 200 and response.complete
        return response


async def read_response(reader, until=b""):
    """Read and return a response; `complete` is false if it is truncated.

    Reading ends early once the body has the bytes `until`.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    parts = []
    try:
        complete = await _read_body(reader, headers, parts, until)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        parts.append(getattr(error, "partial", b""))
        complete = False
    return Response(status, headers, b"".join(parts), complete)


async def _read_body(reader, headers, parts, until):
    if "content-length" in headers:
        parts.append(await reader.readexactly(int(headers["content-length"])))
        return True
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if until and until in b"".join(parts):
            return False
    await reader.readexactly(2)
    return True


__all__ = [
    "API_KEY",
    "MODEL",
    "PROMPT_HEADERS",
    "PlatformCase",
    "ResumingCaller",
    "configuration",
    "read_response",
    "reserve_port",
    "route",
]
