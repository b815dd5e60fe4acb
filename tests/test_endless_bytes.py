"""Tests that a server that sends bytes without end costs bounded memory."""

import asyncio
import gc
import os
import tracemalloc
import unittest

import httptools

from cassiaford._event_splitter import EventSplitter, EventStreamError
from cassiaford._json_calls import JsonClient, ResponseLostError
from cassiaford.gateway import CallFailedError, ConnectionPool, HttpClient
from cassiaford.gateway._server_connection import ServerConnection
from cassiaford.pipeline._response import ResponseListener, ResponseParser
from standins.platform_http import StandInServer, read_call
from standins.platform_worker import PlatformWorker
from tests.platform_case import PlatformCase, configuration, route

# What one connection may hold, and what a server may send before it is left.
MAX_CONNECTION_BYTES = 1_500_000
MAX_SENT_BYTES = 4_000_000
# What instances with the least memory have left for all requests together.
MAX_MEMORY_BYTES = 64_000_000
READ_BYTES = 65_536
CALLS = 24

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: own\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
# The start of an answer, and what follows it again and again.
ENDLESS = {
    "a header": (HEAD + b"X-Noise: ", b"n"),
    "a header's name": (HEAD, b"n"),
    "many headers": (HEAD, b"a: b\r\n"),
    "a reason": (b"HTTP/1.1 200 ", b"n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with headers": (b"", b"HTTP/1.1 103 X\r\na: b\r\n\r\n"),
    "one interim answer": (b"HTTP/1.1 103 Early Hints\r\n", b"Link: x\r\n"),
    "a chunk's size": (CHUNKED, b"0"),
    "a chunk's extension": (CHUNKED + b"5;x=", b"x"),
    "an extension within the body": (CHUNKED + b"1\r\na\r\n5;x=", b"x"),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"T: x\r\n"),
    "one trailer": (CHUNKED + b"2\r\nok\r\n0\r\nT: ", b"x"),
    "answers to others": (b"", OTHER + b"Content-Length: 2\r\n\r\nno"),
    "empty answers to others": (b"", OTHER + b"Content-Length: 0\r\n\r\n"),
    "the answer to another": (OTHER + b"\r\n", b"n"),
    "chunks of an answer to another": (
        OTHER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nn\r\n",
    ),
    "a late answer's head": (WHOLE + b"HTTP/1.1 200 OK\r\nX-Noise: ", b"n"),
    "a late answer's headers": (WHOLE + b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "late answers": (WHOLE, WHOLE),
    "no answer": (b"", b"noise\r\n"),
    "no late answer": (WHOLE, b"noise\r\n"),
    "a body": (HEAD + b"\r\n", b"n"),
    "small chunks": (CHUNKED, b"1\r\na\r\n"),
    "chunks of two bytes": (CHUNKED, b"2\r\nab\r\n"),
}


class FakeTransport:
    """The transport of a connection that reads all that it is sent."""

    def __init__(self):
        self.paused = self.closed = False

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *arguments):
        pass

    def write(self, data):
        pass

    def pause_reading(self):
        self.paused = True

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed


def measured(start, repeated, receive):
    """Feed bytes without end until refused; return how many, and the peak memory."""
    data = repeated * (READ_BYTES // len(repeated))
    gc.collect()
    tracemalloc.start()
    try:
        fed = 0
        going_on = receive(start) if start else True
        while going_on and fed < 4 * MAX_SENT_BYTES:
            going_on = receive(data)
            fed += len(data)
        return fed, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A gateway's connection to a server."""

    async def test_endless_bytes_are_given_up_or_not_read(self):
        for kind, (start, repeated) in ENDLESS.items():
            with self.subTest(kind=kind):
                connection, transport = ServerConnection(), FakeTransport()
                connection.connection_made(transport)
                accepts = self.accepts()
                connection.start(b"", accepts)

                def receive(data, connection=connection, transport=transport):
                    connection.data_received(data)
                    return not (transport.closed or transport.paused)

                fed, peak = measured(start, repeated, receive)
                self.assertLess(fed, MAX_SENT_BYTES)
                self.assertLess(peak, MAX_CONNECTION_BYTES)

    @staticmethod
    def accepts():
        """Return what tells an attempt's own answer from another's."""

        def own(head):
            return head.header("x-attempt-id") == "own"

        return own

    async def test_what_arrived_before_surplus_bytes_is_still_read(self):
        connection, transport = ServerConnection(), FakeTransport()
        connection.connection_made(transport)
        connection.start(b"", self.accepts())
        connection.data_received(WHOLE)
        connection.data_received(b"noise")
        connection.connection_lost(None)
        self.assertEqual((await connection.head()).status, 200)
        self.assertEqual(await connection.body(100), (b"ok", True))
        self.assertFalse(connection.finish())


class OwnPathTest(unittest.TestCase):
    """The parts of the product's own path that read what servers send."""

    class Listener(ResponseListener):
        def on_response_head(self, head):
            pass

        def on_response_body(self, data):
            pass

        def on_response_end(self):
            pass

    def test_endless_bytes_outside_a_body_are_given_up(self):
        for kind, (start, repeated) in ENDLESS.items():
            # The caller's pace limits bodies; nothing is read after an answer.
            if "body" in kind or "small" in kind or "two bytes" in kind:
                continue
            with self.subTest(kind=kind):
                parser = ResponseParser(self.Listener(), "GET")

                def receive(data, parser=parser):
                    try:
                        parser.feed(data)
                    except httptools.HttpParserError:
                        return False
                    return not parser.complete

                fed, peak = measured(start, repeated, receive)
                if "another" not in kind and "others" not in kind:
                    self.assertLess(fed, MAX_SENT_BYTES)
                self.assertLess(peak, MAX_CONNECTION_BYTES)

    def test_an_event_without_end_is_given_up(self):
        splitter = EventSplitter()

        def receive(data):
            try:
                splitter.feed(data)
            except EventStreamError:
                return False
            return True

        fed, peak = measured(b"data: ", b"x", receive)
        self.assertLess(fed, MAX_SENT_BYTES)
        self.assertLess(peak, MAX_CONNECTION_BYTES)


class EndlessServer(StandInServer):
    """Answers each call with a start and then bytes without end."""

    def __init__(self, start, repeated):
        super().__init__()
        self.begin = start
        self.data = repeated * (READ_BYTES // len(repeated))
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        """Answer one call, until its caller closes the connection."""
        await read_call(reader)
        writer.write(self.begin)
        while not writer.is_closing():
            writer.write(self.data)
            self.sent_bytes += len(self.data)
            await writer.drain()


class ControlCallTest(unittest.IsolatedAsyncioTestCase):
    """Calls of an instance's own to servers: reports, orders, polls."""

    KINDS = (
        "a header",
        "many headers",
        "interim answers",
        "a body",
        "chunks of two bytes",
        "trailers",
    )

    async def check(self, call):
        for kind in self.KINDS:
            with self.subTest(kind=kind):
                server = EndlessServer(*ENDLESS[kind])
                await server.start()
                self.addAsyncCleanup(server.stop)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                await call(server.address)
                self.assertLess(
                    tracemalloc.get_traced_memory()[1], 4 * MAX_CONNECTION_BYTES
                )

    async def test_a_gateway_s_call_ends_in_little_memory(self):
        client = HttpClient(ConnectionPool(), max_body_bytes=262_144)

        async def call(address):
            with self.assertRaises(CallFailedError):
                await client.call("GET", address, "/report", 3.0)

        await self.check(call)

    async def test_a_call_of_the_own_path_ends_in_little_memory(self):
        client = JsonClient(3.0, 262_144)

        async def call(address):
            with self.assertRaises(ResponseLostError):
                await asyncio.to_thread(client.call, "GET", address, "/v1/load")

        await self.check(call)


class NoisyWorker(PlatformWorker):
    """A worker that answers each request with bytes without end."""

    kind = "a header"

    async def _execute(self, behaviour, call, attempt, reader, writer):
        start, repeated = ENDLESS[self.kind]
        data = repeated * (READ_BYTES // len(repeated))
        writer.write(start.replace(b"own", attempt.encode()))
        while not writer.is_closing():
            writer.write(data.replace(b"Id: own", b"Id: " + attempt.encode()))
            await writer.drain()
        return False


class GatewayTest(PlatformCase):
    """A gateway with a server that sends bytes without end, and one that serves."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            route("read", "/read/", "safe", "desk", TimeoutMs=900),
            route("book", "/book/", "unsafe", "noise", TimeoutMs=900),
            route("mark", "/mark/", "streaming", "noise", TimeoutMs=900),
        ]
        services = [{"Name": n, "MaxConnections": 90} for n in ("desk", "noise")]
        document = configuration(Routes=routes, Services=services)
        await self.store.put("op/config", document)
        await self.start_worker("i-0", "desk")
        self.noisy = NoisyWorker("i-1", "noise")
        await self.noisy.start()
        self.addAsyncCleanup(self.noisy.stop)
        self.workers["i-1"] = self.noisy
        await self.register(self.noisy)
        self.gateway = await self.start_gateway()

    async def check(self, path, body=b"{}"):
        """Send many requests to the noisy server, and others meanwhile."""
        gc.collect()
        tracemalloc.start()
        try:
            noisy = [
                asyncio.create_task(self.try_call(path, body)) for _ in range(CALLS)
            ]
            for _ in range(10):
                response = await self.call(self.gateway, "/read/1")
                self.assertEqual(response.status, 200)
            for status in await asyncio.gather(*noisy):
                self.assertNotEqual(status, 200)
            self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)
        finally:
            tracemalloc.stop()

    async def try_call(self, path, body):
        """Return the status of a complete answer, None if there was none."""
        try:
            response = await self.call(self.gateway, path, body=body)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return response.status if response.complete else None

    async def test_answers_without_end_hurt_no_other_caller(self):
        for kind in ("a header", "many headers", "interim answers", "trailers"):
            for path in ("/book/1", "/mark/1"):
                with self.subTest(kind=kind, path=path):
                    self.noisy.kind = kind
                    await self.check(path)

    async def test_early_answers_without_end_to_long_bodies_hurt_no_other(self):
        for kind in ("many headers", "interim answers"):
            with self.subTest(kind=kind):
                self.noisy.kind = kind
                await self.check("/book/1", os.urandom(90_000))


if __name__ == "__main__":
    unittest.main()
