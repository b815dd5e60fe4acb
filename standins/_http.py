"""A small HTTP server for the stand-ins: one event loop, many connections.

It parses with httptools and supports two faults on purpose: closing a
connection without a response, and connections that go silent.
"""

import argparse
import asyncio
import contextlib
import http.client
import json
import os
import signal
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote

import httptools

PARENT_CHECK_INTERVAL_S = 0.25
JSON_HEADERS = (("Content-Type", "application/json"),)


@dataclass(frozen=True)
class Response:
    """A response with a complete body; the connection stays open after it."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Request:
    """A received request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = field(repr=False)
    connection: "Connection" = field(repr=False)

    def json(self) -> dict:
        """Return the decoded JSON body; an empty body counts as an empty object."""
        return json.loads(self.body or b"{}")


# Returns None if it has written the response, or closed the connection, itself.
Handler = Callable[[Request], Awaitable[Response | None]]


def json_response(document: object, status: int = 200, headers=()) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(document).encode(), (*JSON_HEADERS, *headers))


def set_faults(faults: object, document: dict) -> Response:
    """Set the named faults of a data class and return the state of all of them."""
    for name in document:
        if not hasattr(faults, name):
            raise ValueError(f"unknown fault {name!r}")
        setattr(faults, name, document[name])
    return json_response(vars(faults))


class Connection(asyncio.Protocol):
    """A connection; its requests are handled one after the other."""

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.closed = asyncio.Event()
        self.silent = False
        self.requests = asyncio.Queue()
        self.parser = httptools.HttpRequestParser(self)
        self.transport = None
        self.task = None
        self._start_message()

    def connection_made(self, transport):
        """Start handling the requests of a new connection."""
        self.transport = transport
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._respond_to_requests())

    def connection_lost(self, exc):
        """Stop handling requests; cancel the current one if others are queued."""
        self.closed.set()
        self.server.connections.discard(self)
        if self.task and not self.requests.empty():
            self.task.cancel()
        self.requests.put_nowait(None)

    def data_received(self, data):
        """Parse received bytes; close the connection if they are malformed."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_url(self, url):
        """Append to the target of the current request."""
        self._url += url

    def on_header(self, name, value):
        """Add a header to the current request."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        """Append to the body of the current request."""
        self._body += body

    def on_message_complete(self):
        """Queue the complete request for handling."""
        url = httptools.parse_url(bytes(self._url))
        request = Request(
            method=self.parser.get_method().decode(),
            path=unquote((url.path or b"/").decode("latin-1")),
            query=dict(parse_qsl((url.query or b"").decode("latin-1"))),
            headers=self._headers,
            body=bytes(self._body),
            connection=self,
        )
        self._start_message()
        self.requests.put_nowait(request)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed or silent."""
        if not self.silent and not self.closed.is_set():
            self.transport.write(data)

    def write_head(self, status: int, headers) -> None:
        """Send the status line and the headers of a response."""
        reason = http.client.responses.get(status, "Unknown")
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def write_chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body; an empty chunk ends the body."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def go_silent(self) -> None:
        """Stop sending and receiving without closing the connection."""
        self.silent = True
        self.transport.pause_reading()

    def abort(self) -> None:
        """Close immediately, without a response."""
        self.transport.abort()

    def _start_message(self):
        self._url = bytearray()
        self._headers = {}
        self._body = bytearray()

    async def _respond_to_requests(self):
        while request := await self.requests.get():
            response = await self.server.respond(request)
            if response is not None:
                length = ("Content-Length", str(len(response.body)))
                self.write_head(response.status, (*response.headers, length))
                self.write(response.body)


class HttpServer:
    """An HTTP server that passes every request to one handler."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.connections: set[Connection] = set()

    async def start(self, address: str) -> asyncio.Server:
        """Listen on an address."""
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: Connection(self), host, int(port), backlog=1024
        )

    async def respond(self, request: Request) -> Response | None:
        """Return the handler's response, or an error response if it raises."""
        try:
            return await self.handler(request)
        except (ValueError, KeyError) as error:
            return json_response({"error": repr(error)}, 400)
        except Exception as error:
            traceback.print_exc()
            return json_response({"error": repr(error)}, 500)

    def silence(self, excluded: Connection) -> int:
        """Make all open connections but one go silent and return their number."""
        silenced = [
            connection for connection in self.connections if connection is not excluded
        ]
        for connection in silenced:
            connection.go_silent()
        return len(silenced)


def address_parser(description: str) -> argparse.ArgumentParser:
    """Return a command-line parser with the `--address` option."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", required=True, help="such as 127.0.0.1:9000")
    return parser


def run_server(server: HttpServer, address: str, *background) -> None:
    """Serve until SIGTERM arrives or the parent process has ended.

    Each of `background` returns a coroutine that runs alongside the server.
    """
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(server, address, background))


async def _serve(server, address, background):
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    listening = await server.start(address)
    tasks = [loop.create_task(function()) for function in background]
    tasks.append(loop.create_task(_stop_with_parent(os.getppid(), stopped)))
    await stopped.wait()
    listening.close()
    for task in tasks:
        task.cancel()


async def _stop_with_parent(parent, stopped):
    while os.getppid() == parent:
        await asyncio.sleep(PARENT_CHECK_INTERVAL_S)
    stopped.set()
