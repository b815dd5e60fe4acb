"""A stand-in of the platform's workers, written from its page.

It runs requests at once, records what it was sent, and misbehaves as told:
each entry of `behaviours` is used by one request, in order.
"""

import asyncio
import enum
import json

from standins.platform_http import Call, StandInServer, answer_bytes, read_call


class Behaviour(enum.Enum):
    """What a worker does with one request."""

    SERVE = "serve"
    SHED = "shed"
    FAIL = "fail"
    PLAIN_503 = "503 without word that it has not run"
    RESET = "reset before an answer"
    HANG = "no answer"
    SLOW = "an answer once it is released"
    SHORT = "a body that breaks off"
    BREAK_IN_EVENT = "a stream that breaks off within its second event"
    EXTRA = "a second answer after the first"
    CROSSED_FIRST = "an answer to another request before its own"
    UNSIGNED = "a success without signature"
    UNFRAMED = "a body that ends with its connection"
    CLOSE_AFTER = "an answer, then the end of the connection without a word"
    GARBAGE = "bytes that are no answer"


class PlatformWorker(StandInServer):
    """One worker of a service; `events` is the length of its streams."""

    def __init__(self, server_id: str, service: str, zone: str = "a", events: int = 3):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.events = events
        self.close_after_s = 0.005
        self.pause_s = 0.0
        self.versions: dict[str, int] = {}
        self.behaviours: list[Behaviour] = []
        self.calls: list[Call] = []
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.orders: list[dict] = []
        self.state = "ready"
        self.released = asyncio.Event()

    def entry(self) -> dict:
        """Return what the worker says of itself in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Models": self._models(),
            "Sequence": 1,
        }

    async def serve(self, reader, writer):
        """Answer calls until the connection ends."""
        while (call := await read_call(reader)) is not None:
            if call.path in ("/report", "/order"):
                status, document = self._control(call)
                writer.write(answer_bytes(status, {}, json.dumps(document).encode()))
                continue
            self.calls.append(call)
            if not await self._request(call, reader, writer):
                return

    def _control(self, call):
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
        return 202, {}

    def _models(self):
        return [
            {"Name": name, "Version": version, "Adapters": []}
            for name, version in self.versions.items()
        ]

    async def _request(self, call, reader, writer):
        """Answer one request; return whether the connection goes on."""
        if not self._is_expected(call):
            own = {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"}
            writer.write(answer_bytes(421, own, b""))
            return True
        behaviour = self.behaviours.pop(0) if self.behaviours else Behaviour.SERVE
        if behaviour is Behaviour.SHED:
            writer.write(answer_bytes(503, {"X-Not-Executed": "1"}, b""))
            return True
        attempt = call.headers["x-attempt-id"]
        self.ran.append(attempt)
        return await self._run(behaviour, call, attempt, reader, writer)

    def _is_expected(self, call):
        if call.headers.get("x-expect-instance", self.server_id) != self.server_id:
            return False
        version = call.headers.get("x-expect-version")
        model = call.headers.get("x-model")
        return version is None or int(version) == self.versions.get(model)

    async def _run(self, behaviour, call, attempt, reader, writer):
        own = {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal-{self.server_id}"}
        match behaviour:
            case Behaviour.FAIL:
                writer.write(answer_bytes(500, own, b"failed"))
                return True
            case Behaviour.PLAIN_503:
                writer.write(answer_bytes(503, own, b""))
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
                writer.write(answer_bytes(200, {"X-Attempt-Id": attempt}, b"unsigned"))
                return True
            case Behaviour.CROSSED_FIRST:
                other = {"X-Attempt-Id": "other", "X-Response-Seal": "other"}
                writer.write(answer_bytes(200, other, b"for somebody else"))
        if call.headers.get("x-model"):
            return await self._stream(behaviour, call, own, writer)
        return await self._plain(behaviour, attempt, own, writer)

    async def _plain(self, behaviour, attempt, own, writer):
        body = f"answer to {attempt}".encode()
        if behaviour is Behaviour.SHORT:
            writer.write(answer_bytes(200, own, body)[:-4])
            await writer.drain()
            writer.transport.abort()
            return False
        if behaviour is Behaviour.UNFRAMED:
            head = "".join(f"{name}: {value}\r\n" for name, value in own.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body)
            return False
        writer.write(answer_bytes(200, own, body))
        if behaviour is Behaviour.EXTRA:
            writer.write(answer_bytes(200, own, b"once more"))
        await writer.drain()
        if behaviour is Behaviour.CLOSE_AFTER:
            # Long enough for a next request to be on its way.
            await asyncio.sleep(self.close_after_s)
            return False
        return True

    async def _stream(self, behaviour, call, own, writer):
        lines = [f"{name}: {value}" for name, value in own.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(call.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if number > first:
                await asyncio.sleep(self.pause_s)
            if behaviour is Behaviour.BREAK_IN_EVENT and number == 2:
                event = event[:9]
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if behaviour is Behaviour.BREAK_IN_EVENT and number == 2:
                # Let the part of the event arrive before the reset.
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
