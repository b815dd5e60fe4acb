"""A model worker that caches the parts of prompts."""

import asyncio
import json
import time
from dataclasses import dataclass

from review.worker import Worker
from standins.platform_http import read_call, response_bytes

MODEL = "m1"


@dataclass(frozen=True)
class CacheUse:
    """A cached part that a request used, and the tenant whose request had made it."""

    attempt: str
    tenant: str
    part_id: str
    scope: str
    made_by: str


class Engine(Worker):
    """Finds a cached part if it and all before it are cached under the same salt.

    `uses` are the cached parts that requests used, in order.
    """

    def __init__(self, server_id: str):
        super().__init__(server_id)
        self.version = 1
        self.made_by: dict[tuple[str, str, str], str] = {}
        self.uses: list[CacheUse] = []

    def entry(self) -> dict:
        """Return the next entry with which the worker registers in the store."""
        return {
            **super().entry(),
            "Service": "engine",
            "Slots": 32,
            "Stage": "both",
            "Models": self._models(),
        }

    async def serve(self, reader, writer):
        """Handle requests until the connection is closed."""
        while (call := await read_call(reader)) is not None:
            if call.headers.get("x-expect-instance") != self.server_id:
                own = {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"}
                writer.write(response_bytes(421, own, b""))
            elif call.path == "/report":
                report = {"Models": self._models(), "Busy": False, "Sequence": 0}
                writer.write(response_bytes(200, {}, json.dumps(report).encode()))
            else:
                await self._run(call, writer)

    def _models(self):
        return [{"Name": MODEL, "Version": self.version, "Adapters": []}]

    async def _run(self, call, writer):
        attempt = call.headers["x-attempt-id"]
        self.arrivals[attempt] = time.monotonic()
        self._read_prompt(attempt, call.headers)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"X-Attempt-Id: {attempt}\r\nX-Response-Seal: s\r\n".encode()
            + f"X-Weight-Versions: {self.version}\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, 4):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.005)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished[attempt] = time.monotonic()

    def _read_prompt(self, attempt, headers):
        """Use the cached parts, and cache the others."""
        tenant = headers.get("x-tenant", "")
        scope = headers.get("x-cache-salt", "")
        hit = True
        for entry in headers["x-prompt-prefix"].split(","):
            part_id = entry.partition(":")[0]
            made_by = self.made_by.get((scope, MODEL, part_id))
            hit = hit and made_by is not None
            if hit:
                use = CacheUse(attempt, tenant, part_id, scope, made_by)
                self.uses.append(use)
            else:
                self.made_by[scope, MODEL, part_id] = tenant
