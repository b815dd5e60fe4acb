"""Callers that read streams and measure when their tokens arrive."""

import asyncio
import itertools
import json
import random
import re
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

PROMPT = "binder " * 300
# Only the gateway reads these headers; the engine and the relay ignore them.
PLATFORM_HEADERS = (
    "Host: a.example\r\nX-Model: tare\r\nX-Token-Count: 300,150\r\n"
    "X-Prompt-Prefix: aa:200,bb:100\r\nConnection: close\r\n"
)
REQUEST_NUMBERS = itertools.count()
SENT_NS = re.compile(rb'"sent_ns": (\d+)')
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def histogram():
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class StreamMeasurements:
    """Measurements by the callers of one run; times in microseconds."""

    first_token: HdrHistogram = field(default_factory=histogram)
    delay: HdrHistogram = field(default_factory=histogram)
    tokens: int = 0
    whole: int = 0
    broken: int = 0


class StreamCaller(asyncio.Protocol):
    """Caller that reads one stream."""

    def __init__(self, measured, tokens, started_at):
        self.measured = measured
        self.expected = tokens
        self.received = 0
        self.tail = b""
        self.started_at = started_at
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Send the request."""
        document = {"model": "tare", "prompt": PROMPT, "stream": True}
        body = json.dumps({**document, "max_tokens": self.expected}).encode()
        number = next(REQUEST_NUMBERS)
        head = (
            f"POST /v1/completions HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
            f"{PLATFORM_HEADERS}X-Attempt-Id: a{number}\r\n\r\n"
        )
        transport.write(head.encode() + body)

    def data_received(self, data):
        """Record the times of the tokens received."""
        now = time.monotonic_ns()
        for match in SENT_NS.finditer(data):
            if self.received == 0:
                self.measured.first_token.record_value((now - self.started_at) // 1000)
            self.received += 1
            self.measured.delay.record_value(max(1, (now - int(match[1])) // 1000))
        self.tail = (self.tail + data)[-64:]

    def connection_lost(self, exc):
        """Record whether the stream was complete."""
        whole = self.received == self.expected and self.tail.endswith(b"\r\n0\r\n\r\n")
        self.measured.tokens += self.received
        self.measured.whole += whole
        self.measured.broken += not whole
        self.done.set_result(None)


async def run_streams(port, streams, rounds, tokens, ramp_s, seed):
    """Run concurrent callers that read `rounds` streams each; return measurements."""
    measured = StreamMeasurements()
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()

    async def call(delay_s):
        await asyncio.sleep(delay_s)
        for _ in range(rounds):
            started_at = time.monotonic_ns()
            _, protocol = await loop.create_connection(
                lambda started_at=started_at: StreamCaller(
                    measured, tokens, started_at
                ),
                "127.0.0.1",
                port,
            )
            await protocol.done

    await asyncio.gather(*(call(rng.uniform(0, ramp_s)) for _ in range(streams)))
    return measured
