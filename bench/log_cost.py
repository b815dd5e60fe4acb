"""Measures what the gateway's log costs a request, in processor time.

    python -m bench.log_cost

Prints microseconds a line, written and dropped, and a request at the share of
requests that is written. Lines go through a pipe that is read at once; the
reader's part is in the figure.
"""

import os
import threading
import time

import typer

from cassiaford.gateway._event_log import SAMPLE_EVERY, EventLog
from cassiaford.logs import Event, NonBlockingStream, configure_logging

LINES = 5000
FIELDS = {
    "request_id": "9c41d07be2a35f68",
    "route": "mark",
    "customer": "academy",
    "server": "i-7f3a91c2",
    "sends": 1,
    "expected_s": 0.126,
    "first_s": 0.121,
    "took_s": 0.402,
    "longest_pause_s": 0.02,
    "status": 200,
    "verdict": "ran",
}


def cost_us(write, lines: int = LINES) -> float:
    """Return the processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(lines):
        write()
    return (time.process_time() - started) / lines * 1e6


def main() -> None:
    """Print the costs."""
    reader, writer = os.pipe()
    threading.Thread(target=drain, args=(reader,), daemon=True).start()
    configure_logging("json", "info", NonBlockingStream(writer))
    log = EventLog("entry-1", 1)

    def call(method, budget):
        # The budget of lines is set before each call, so that none runs out.
        log._level = budget
        method(Event.REQUEST_COMPLETED, **FIELDS)

    results = {
        "a line written": cost_us(lambda: call(log.write, 1000.0)),
        "a line dropped": cost_us(lambda: call(log.write, -1e9)),
        f"a request, one in {SAMPLE_EVERY} written": cost_us(
            lambda: call(log.write_sampled, 1000.0)
        ),
    }
    for name, value in results.items():
        typer.echo(f"{name}: {value:.1f} us")


def drain(reader):
    """Read a pipe to its end, as the platform does."""
    while os.read(reader, 1 << 16):
        pass


if __name__ == "__main__":
    typer.run(main)
