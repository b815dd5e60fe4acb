"""Stand-in for the platform's workers, after their documented interface.

It executes requests immediately and records what it received. It misbehaves on
demand: each request takes the next entry of `behaviours`.
"""

import asyncio
import enum
import json
import socket
import struct
from collections.abc import Awaitable, Callable

from standins.platform_http import Call, StandInServer, read_call, response_bytes


class Behaviour(enum.Enum):
    """How a worker handles one request."""

    SERVE = "serve"
    REJECT = "503 with the header that it was not executed"
    FAIL = "fail"
    PLAIN_503 = "503 without the header that it was not executed"
    RESET = "connection reset before a response"
    HANG = "no response"
    SLOW = "a response once released"
    QUEUE = "no begin until released; dropped if its connection closes before"
    QUEUE_AFTER_HEAD = "the head of a stream, then as in the queue"
    TRUNCATE = "connection reset within the body"
    BREAK_IN_EVENT = "connection reset within the second event of a stream"
    EXTRA_RESPONSE = "a second response after the first"
    OTHER_RESPONSE_FIRST = "a response to another attempt before its own"
    UNSIGNED = "a success without the response seal"
    UNFRAMED = "a body without a length, ended by closing the connection"
    UNFRAMED_BREAK = "a stream without a length, closed within its second event"
    UNFRAMED_RESET = "a body without a length, ended by a reset"
    ENDLESS_HEAD = "bytes that are no answer, without end, as a header"
    ENDLESS_BODY = "bytes without end, as a body without a length"
    CLOSE_AFTER = "a response, then a close without announcing it"
    GARBAGE = "bytes that are not HTTP"
    CRASH = "the worker crashes as it begins to run the request"
    CRASH_IN_STREAM = "the worker crashes after the first event that it sends"
    HOLD_STREAM = "a stream that stops after its first event until released"


class PlatformWorker(StandInServer):
    """One worker of a service; its streams have `events` events.

    Each event names the software version that made it. A worker without one
    (None) names none in its entry.

    It crashes when it begins to run a request whose body is in `fatal_bodies` or
    whose prompt has one of `fatal_parts` before its last part, and starts again
    under another identifier after `recovery_s`, if that is set, with the software
    of `next_software_version`. `on_restart` is awaited with the identifier that it
    had before.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str = "a",
        events: int = 3,
        software_version: str | None = "v1",
    ):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.events = events
        self.software_version = software_version
        self.next_software_version = software_version
        self.close_after_s = 0.005
        self.pause_s = 0.0
        self.versions: dict[str, int] = {}
        self.behaviours: list[Behaviour] = []
        self.calls: list[Call] = []
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.queued: list[str] = []
        self.ordered = asyncio.Event()
        self.orders: list[dict] = []
        self.state = "ready"
        self.released = asyncio.Event()
        self.fatal_bodies: frozenset[bytes] = frozenset()
        self.fatal_parts: frozenset[str] = frozenset()
        self.prefill_s = 0.0
        self.noise_bytes = 0
        self.noise_ended = False
        self.recovery_s: float | None = None
        self.on_restart: Callable[[str], Awaitable[None]] | None = None
        self.crashes = 0

    def entry(self) -> dict:
        """Return the entry with which the worker registers in the store."""
        version = self.software_version
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            **({"Version": version} if version is not None else {}),
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Models": self._models(),
            "Sequence": 1,
        }

    def crash(self) -> None:
        """End every connection and stop listening, as a process that dies."""
        self.crashes += 1
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        current = asyncio.current_task()
        for task in self.tasks - {current}:
            task.cancel()
        if self.recovery_s is not None:
            task = asyncio.get_running_loop().create_task(self._recover())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _recover(self):
        await asyncio.sleep(self.recovery_s)
        previous = self.server_id
        self.server_id = f"{previous.partition('+')[0]}+{self.crashes}"
        self.software_version = self.next_software_version
        await self.start()
        if self.on_restart is not None:
            await self.on_restart(previous)

    async def serve(self, reader, writer):
        """Handle calls until the connection is closed."""
        while (call := await read_call(reader)) is not None:
            if call.path in ("/report", "/order"):
                status, document = self._handle_control(call)
                writer.write(response_bytes(status, {}, json.dumps(document).encode()))
                continue
            self.calls.append(call)
            if not await self._handle_request(call, reader, writer):
                return

    def _handle_control(self, call):
        if call.headers.get("x-expect-instance") != self.server_id:
            return 421, {}
        if call.path == "/report":
            return 200, {
                "Models": self._models(),
                "Busy": False,
                "Sequence": len(self.orders),
            }
        order = json.loads(call.body)
        if order["Expected"] != len(self.orders):
            return 409, {}
        self.orders.append(order)
        self.versions[order["Model"]] = order["Version"]
        ordered, self.ordered = self.ordered, asyncio.Event()
        ordered.set()
        return 202, {}

    def _models(self):
        return [
            {"Name": name, "Version": version, "Adapters": []}
            for name, version in self.versions.items()
        ]

    async def _handle_request(self, call, reader, writer):
        """Handle one request and return whether the connection stays open."""
        if not self._is_expected(call):
            own_headers = {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"}
            writer.write(response_bytes(421, own_headers, b""))
            return True
        behaviour = self.behaviours.pop(0) if self.behaviours else Behaviour.SERVE
        if behaviour is Behaviour.REJECT:
            writer.write(response_bytes(503, {"X-Not-Executed": "1"}, b""))
            return True
        attempt = call.headers["x-attempt-id"]
        if behaviour in (Behaviour.QUEUE, Behaviour.QUEUE_AFTER_HEAD):
            if behaviour is Behaviour.QUEUE_AFTER_HEAD:
                writer.write(_stream_head(self._own_headers(attempt)))
            if not await self._wait_in_queue(attempt, reader, writer):
                return False
        self.ran.append(attempt)
        if self.prefill_s:
            await asyncio.sleep(self.prefill_s)
        if behaviour is Behaviour.CRASH or self._is_fatal(call):
            self.crash()
            return False
        return await self._execute(behaviour, call, attempt, reader, writer)

    async def _wait_in_queue(self, attempt, reader, writer):
        """Return whether a request may begin: not if withdrawn or thrown back."""
        self.queued.append(attempt)
        closed = asyncio.ensure_future(reader.read(1))
        released = asyncio.ensure_future(self.released.wait())
        ordered = asyncio.ensure_future(self.ordered.wait())
        waits = closed, released, ordered
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
            self.queued.remove(attempt)
        if released.done():
            return True
        if ordered.done():
            writer.write(response_bytes(503, {"X-Not-Executed": "1"}, b""))
        else:
            self.cancelled.append(attempt)
        return False

    def _is_fatal(self, call):
        prefix = call.headers.get("x-prompt-prefix", "")
        parts = [entry.partition(":")[0] for entry in prefix.split(",")]
        return call.body in self.fatal_bodies or not self.fatal_parts.isdisjoint(
            parts[:-1]
        )

    def _is_expected(self, call):
        if call.headers.get("x-expect-instance", self.server_id) != self.server_id:
            return False
        version = call.headers.get("x-expect-version")
        model = call.headers.get("x-model")
        return version is None or int(version) == self.versions.get(model)

    async def _execute(self, behaviour, call, attempt, reader, writer):
        own_headers = self._own_headers(attempt)
        match behaviour:
            case Behaviour.FAIL:
                writer.write(response_bytes(500, own_headers, b"failed"))
                return True
            case Behaviour.PLAIN_503:
                writer.write(response_bytes(503, own_headers, b""))
                return True
            case Behaviour.RESET:
                writer.transport.abort()
                return False
            case Behaviour.GARBAGE:
                writer.write(b"this is not an answer\r\n\r\n")
                return True
            case Behaviour.HANG:
                await reader.read(1)
                self.cancelled.append(attempt)
                return False
            case Behaviour.SLOW:
                await self.released.wait()
            case Behaviour.UNSIGNED:
                writer.write(
                    response_bytes(200, {"X-Attempt-Id": attempt}, b"unsigned")
                )
                return True
            case Behaviour.OTHER_RESPONSE_FIRST:
                other_headers = {"X-Attempt-Id": "other", "X-Response-Seal": "other"}
                writer.write(response_bytes(200, other_headers, b"for somebody else"))
            case Behaviour.ENDLESS_HEAD:
                writer.write(b"HTTP/1.1 200 OK\r\nX-Noise: ")
                return await self._send_noise(writer)
            case Behaviour.ENDLESS_BODY:
                writer.write(_unframed_head(own_headers))
                return await self._send_noise(writer)
        if call.headers.get("x-model"):
            return await self._send_stream(behaviour, call, own_headers, writer)
        return await self._send_plain(behaviour, attempt, own_headers, writer)

    def _own_headers(self, attempt):
        return {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": f"seal-{self.server_id}",
        }

    async def _send_noise(self, writer):
        """Send bytes until the caller closes the connection."""
        try:
            while not writer.is_closing():
                writer.write(b"noise" * 4000)
                self.noise_bytes += 20_000
                await writer.drain()
        finally:
            self.noise_ended = True
        return False

    async def _send_plain(self, behaviour, attempt, own_headers, writer):
        body = f"answer to {attempt}".encode()
        if behaviour is Behaviour.TRUNCATE:
            writer.write(response_bytes(200, own_headers, body)[:-4])
            await writer.drain()
            writer.transport.abort()
            return False
        if behaviour is Behaviour.UNFRAMED:
            writer.write(_unframed_head(own_headers) + body)
            return False
        if behaviour is Behaviour.UNFRAMED_RESET:
            writer.write(_unframed_head(own_headers) + body)
            await writer.drain()
            await asyncio.sleep(0.05)
            _reset(writer)
            return False
        writer.write(response_bytes(200, own_headers, body))
        if behaviour is Behaviour.EXTRA_RESPONSE:
            writer.write(response_bytes(200, own_headers, b"once more"))
        await writer.drain()
        if behaviour is Behaviour.CLOSE_AFTER:
            # Wait long enough for the next request to be in flight.
            await asyncio.sleep(self.close_after_s)
            return False
        return True

    async def _send_stream(self, behaviour, call, own_headers, writer):
        if behaviour in (Behaviour.UNFRAMED, Behaviour.UNFRAMED_BREAK):
            own_headers = {**own_headers, "Content-Type": "text/event-stream"}
            return await self._send_unframed_stream(behaviour, own_headers, writer)
        if behaviour is not Behaviour.QUEUE_AFTER_HEAD:
            writer.write(_stream_head(own_headers))
        first = int(call.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = self._event(number)
            if number > first:
                await asyncio.sleep(self.pause_s)
            if behaviour is Behaviour.BREAK_IN_EVENT and number == 2:
                event = event[:9]
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if behaviour is Behaviour.BREAK_IN_EVENT and number == 2:
                # Let the first part of the event arrive before the reset.
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return False
            if behaviour is Behaviour.CRASH_IN_STREAM:
                # Let the event arrive before the reset.
                await asyncio.sleep(0.05)
                self.crash()
                return False
            if behaviour is Behaviour.HOLD_STREAM and number == first:
                await self.released.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _event(self, number):
        text = f"piece {number} of {self.software_version}"
        return f"id: {number}\ndata: {text}\n\n".encode()

    async def _send_unframed_stream(self, behaviour, own_headers, writer):
        """Send a stream that ends with its connection."""
        writer.write(_unframed_head(own_headers))
        for number in range(1, self.events + 1):
            event = self._event(number)
            if behaviour is Behaviour.UNFRAMED_BREAK and number == 2:
                writer.write(event[:-3])
                break
            writer.write(event)
            await writer.drain()
        return False


def _stream_head(headers):
    fields = {
        **headers,
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()


def _unframed_head(headers):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()


def _reset(writer):
    """Close a connection with a reset, also if nothing is unread."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
