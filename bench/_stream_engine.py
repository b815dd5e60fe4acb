"""A small stand-in engine that paces tokens and stamps each with its time."""

import asyncio
import re
import sys
import time

TOKEN_INTERVAL_S = 0.06
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n"
)
EVENT = (
    b'data: {"id": "cmpl-1", "object": "text_completion", "model": "tare", '
    b'"choices": [{"index": 0, "text": "word ", "finish_reason": null}], '
    b'"sent_ns": %d}\n\n'
)
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
ATTEMPT = re.compile(rb"x-attempt-id: ([^\r]+)", re.IGNORECASE)
MAX_TOKENS = re.compile(rb'"max_tokens": (\d+)')


class StreamServer(asyncio.Protocol):
    """Answers one request on each connection with a paced stream."""

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        self.data = b""

    def data_received(self, data):
        """Start the stream once the request is whole."""
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator or len(body) < int(LENGTH.search(head)[1]):
            return
        self.left = int(MAX_TOKENS.search(body)[1])
        self.loop = asyncio.get_running_loop()
        self.due = self.loop.time()
        self._send_token(HEAD + _signature(head) + b"\r\n")

    def _send_token(self, head=b""):
        if self.transport.is_closing():
            return
        event = EVENT % time.monotonic_ns()
        self.left -= 1
        if self.left == 0:
            event += b"data: [DONE]\n\n"
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        if self.left == 0:
            self.transport.write(head + chunk + b"0\r\n\r\n")
            self.transport.close()
            return
        self.transport.write(head + chunk)
        self.due += TOKEN_INTERVAL_S
        self.loop.call_at(self.due, self._send_token)


def _signature(head):
    """Return what an engine of the users' platform adds to its answer."""
    attempt = ATTEMPT.search(head)
    if attempt is None:
        return b""
    return b"X-Attempt-Id: %b\r\nX-Response-Seal: seal\r\n" % attempt[1]


async def serve():
    """Serve until standard input ends; print the port first."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(StreamServer, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve())
