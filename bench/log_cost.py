"""The cost of the gateway's log for a request, in processor time.

    python -m bench.log_cost

Prints the microseconds for a written line, for a dropped one, and for a request
when only a sample is written. Lines go through a pipe that is read immediately;
the reader's processor time is included.
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
    started_at = time.process_time()
    for _ in range(lines):
        write()
    return (time.process_time() - started_at) / lines * 1e6


def main() -> None:
    """Measure and print the costs."""
    reader, writer = os.pipe()
    threading.Thread(target=drain, args=(reader,), daemon=True).start()
    configure_logging("json", "info", NonBlockingStream(writer))
    log = EventLog("entry-1", 1)

    def call(method, line_budget):
        # The line budget is set before each call, so that it never runs out.
        log._level = line_budget
        method(Event.REQUEST_COMPLETED, **FIELDS)

    results = {
        "a line written": cost_us(lambda: call(log.write, 1000.0)),
        "a line dropped": cost_us(lambda: call(log.write, -1e9)),
        f"a request, one in {SAMPLE_EVERY} written": cost_us(
            lambda: call(log.write_sampled, 1000.0)
        ),
    }
    for name, us_per_call in results.items():
        typer.echo(f"{name}: {us_per_call:.1f} us")


def drain(reader):
    """Read a pipe to its end, as the platform does with the log."""
    while os.read(reader, 1 << 16):
        pass


if __name__ == "__main__":
    typer.run(main)
