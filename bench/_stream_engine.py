"""A simulated engine that streams tokens at a fixed interval, with send times."""

import asyncio
import re
import sys
import time

TOKEN_INTERVAL_S = 0.06
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n"
)
EVENT = (
    b'data: {"id": "cmpl-1", "object": "text_completion", "model": "tare", '
    b'"choices": [{"index": 0, "text": "word ", "finish_reason": null}], '
    b'"sent_ns": %d}\n\n'
)
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
ATTEMPT_ID = re.compile(rb"x-attempt-id: ([^\r]+)", re.IGNORECASE)
MAX_TOKENS = re.compile(rb'"max_tokens": (\d+)')


class StreamServer(asyncio.Protocol):
    """Responds to one request on each connection with a paced stream."""

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self.data = b""

    def data_received(self, data):
        """Start the stream once the request is complete."""
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator or len(body) < int(CONTENT_LENGTH.search(head)[1]):
            return
        self.remaining_tokens = int(MAX_TOKENS.search(body)[1])
        self.loop = asyncio.get_running_loop()
        self.next_token_at = self.loop.time()
        self._send_token(RESPONSE_HEAD + _platform_headers(head) + b"\r\n")

    def _send_token(self, head=b""):
        if self.transport.is_closing():
            return
        event = EVENT % time.monotonic_ns()
        self.remaining_tokens -= 1
        if self.remaining_tokens == 0:
            event += b"data: [DONE]\n\n"
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        if self.remaining_tokens == 0:
            self.transport.write(head + chunk + b"0\r\n\r\n")
            self.transport.close()
            return
        self.transport.write(head + chunk)
        self.next_token_at += TOKEN_INTERVAL_S
        self.loop.call_at(self.next_token_at, self._send_token)


def _platform_headers(head):
    """Return the headers that an engine of the users' platform adds."""
    attempt = ATTEMPT_ID.search(head)
    if attempt is None:
        return b""
    return b"X-Attempt-Id: %b\r\nX-Response-Seal: seal\r\n" % attempt[1]


async def serve():
    """Print the port, then serve until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(StreamServer, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve())
