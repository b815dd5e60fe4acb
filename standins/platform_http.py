"""A small asyncio HTTP/1.1 server for stand-ins of the users' platform."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Call:
    """A received request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = field(repr=False, default=b"")


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Return the next request of a connection, or None if it was closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    return Call(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


def response_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded response with its Content-Length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class StandInServer:
    """Base of servers on loopback; `serve` handles each connection."""

    def __init__(self):
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> "StandInServer":
        """Listen on a free port, or on the previous port after a stop."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Close the server and reset its connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer) -> None:
        """Handle the calls of one connection."""
        raise AssertionError("a subclass must override serve()")

    def _connected(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The client closed the connection; others are still served.
            return
        finally:
            self.writers.discard(writer)
            writer.close()
