"""A worker of a plain service."""

import asyncio
import time

from standins.platform_http import StandInServer, read_call, response_bytes


class Worker(StandInServer):
    """Runs each request for `work_s` and records when it arrived and ended.

    Its answers have `body_bytes` bytes. `arrivals` are the times, on the monotonic
    clock, at which requests reached it, by attempt.
    """

    def __init__(self, server_id: str, work_s: float = 0.05, body_bytes: int = 100):
        super().__init__()
        self.server_id = server_id
        self.work_s = work_s
        self.body_bytes = body_bytes
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.beats = 0
        self.arrivals: dict[str, float] = {}
        self.finished: dict[str, float] = {}

    def entry(self) -> dict:
        """Return the next entry with which the worker registers in the store."""
        self.beats += 1
        return {
            "Service": "desk",
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": 6,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.beats,
            "born": self.born,
        }

    async def serve(self, reader, writer):
        """Handle requests until the connection is closed."""
        while (call := await read_call(reader)) is not None:
            if call.headers.get("x-expect-instance") != self.server_id:
                own = {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"}
                writer.write(response_bytes(421, own, b""))
                continue
            attempt = call.headers["x-attempt-id"]
            self.arrivals[attempt] = time.monotonic()
            await asyncio.sleep(self.work_s)
            headers = {"X-Attempt-Id": attempt, "X-Response-Seal": self.server_id}
            body = b"x" * self.body_bytes
            writer.write(response_bytes(200, headers, body))
            await writer.drain()
            self.finished[attempt] = time.monotonic()
