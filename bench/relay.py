"""The delay that the threaded relay and the gateway add to a stream.

Run as ``python -m bench.relay``. The engine, the relay, the gateway and the callers
run in separate processes. The same callers call the engine directly, through the
relay and through the gateway, one after the other in the same run.
"""

import argparse
import asyncio
import json
import os
import pathlib
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from bench._stream_load import run_streams

RESULTS = pathlib.Path("bench-results")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
WARM_UP_STREAMS = 32
TARGETS = ("relay", "gateway")
# Processor time is measured over this span of a run, when all streams are open.
CPU_FROM_S = 1.0
CPU_SPAN_S = 7.0


@dataclass(frozen=True)
class Run:
    """The size of a run: concurrent streams, rounds of each caller, tokens a stream."""

    streams: int
    rounds: int
    tokens: int
    ramp_s: float


RUNS = (Run(1, 40, 8, 0.0), Run(50, 2, 150, 1.0), Run(400, 2, 150, 3.0))


@dataclass(frozen=True)
class Row:
    """The figures of one run; times are in milliseconds."""

    way: str
    streams: int
    whole: int
    broken: int
    tokens_per_s: float
    first_token_p50: float
    first_token_p99: float
    delay_p50: float
    delay_p99: float
    cpu_percent: float | None = None
    peak_mb: float | None = None


def start_process(module, *arguments):
    """Start a process that prints its port; return the process and the port."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, int(process.stdout.readline())


def cpu_seconds(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


def peak_mb(pid):
    """Return the peak resident memory of a process in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text("ascii")
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return round(int(line.split()[1]) / 1024, 1)


def measure(target, run, port, seed, pid=None):
    """Run callers against a port and return the figures of the run."""
    cpu_percents = []
    cpu_thread = threading.Thread(target=_measure_cpu, args=(pid, run, cpu_percents))
    if pid is not None:
        cpu_thread.start()
    started_at = time.monotonic()
    measured = asyncio.run(
        run_streams(port, run.streams, run.rounds, run.tokens, run.ramp_s, seed)
    )
    elapsed_s = time.monotonic() - started_at
    if pid is not None:
        cpu_thread.join()
    return Row(
        target,
        run.streams,
        measured.whole,
        measured.broken,
        round(measured.tokens / elapsed_s, 1),
        _ms(measured.first_token, 50),
        _ms(measured.first_token, 99),
        _ms(measured.delay, 50),
        _ms(measured.delay, 99),
        cpu_percents[0] if cpu_percents else None,
        peak_mb(pid) if pid is not None else None,
    )


def _measure_cpu(pid, run, cpu_percents):
    time.sleep(run.ramp_s + CPU_FROM_S)
    before, started_at = cpu_seconds(pid), time.monotonic()
    time.sleep(CPU_SPAN_S)
    used_s, elapsed_s = cpu_seconds(pid) - before, time.monotonic() - started_at
    cpu_percents.append(round(100 * used_s / elapsed_s, 1))


def _ms(histogram, percentile):
    return round(histogram.get_value_at_percentile(percentile) / 1000, 3)


def print_table(rows):
    """Print the figures as a table."""
    print("way     streams whole broken tokens/s | first token p50    p99 ms", end="")
    print(" | token delay p50    p99 ms | cpu % | peak MB")
    for row in rows:
        cpu = "-" if row.cpu_percent is None else row.cpu_percent
        peak = "-" if row.peak_mb is None else row.peak_mb
        print(
            f"{row.way:7} {row.streams:7} {row.whole:5} {row.broken:6}"
            f" {row.tokens_per_s:8.0f} | {row.first_token_p50:15.2f}"
            f" {row.first_token_p99:9.2f} | {row.delay_p50:15.2f}"
            f" {row.delay_p99:9.2f} | {cpu:>5} | {peak:>7}"
        )


def goals(rows):
    """Return each goal with its figure and whether it was met."""
    by_run = {(row.way, row.streams): row for row in rows}
    return [goal for target in TARGETS for goal in _goals_of(target, by_run)]


def _goals_of(target, by_run):
    added = by_run[target, 50].first_token_p99 - by_run["direct", 50].first_token_p99
    added = round(added, 3)
    full = by_run[target, 400]
    cpu, token_delay = full.cpu_percent, full.delay_p99
    return (
        (f"{target}: added first token p99 ms, 50 streams, under 3", added, added < 3),
        (f"{target}: cpu %, 400 streams, under 40", cpu, cpu < 40),
        (
            f"{target}: token delay p99 ms, 400 streams, under 15",
            token_delay,
            token_delay < 15,
        ),
        (f"{target}: broken streams, none", full.broken, full.broken == 0),
    )


def main(argv: Sequence[str] | None = None) -> None:
    """Run every size, print the figures and write them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(argv).seed
    engine, engine_port = start_process("bench._stream_engine")
    address = f"127.0.0.1:{engine_port}"
    relay, relay_port = start_process("bench._stream_relay", address)
    gateway, gateway_port = start_process("bench._stream_gateway", address)
    rows = []
    load_before = os.getloadavg()
    try:
        for port in (relay_port, gateway_port):
            asyncio.run(run_streams(port, WARM_UP_STREAMS, 1, 3, 0.0, seed))
        for run in RUNS:
            rows.append(measure("direct", run, engine_port, seed))
            rows.append(measure("relay", run, relay_port, seed, relay.pid))
            rows.append(measure("gateway", run, gateway_port, seed, gateway.pid))
    finally:
        for process in (relay, gateway, engine):
            process.stdin.close()
            process.wait()
    print(f"load average {load_before[0]:.1f} before, {os.getloadavg()[0]:.1f} after")
    print_table(rows)
    for text, value, met in goals(rows):
        print(f"{'met   ' if met else 'MISSED'} {text}: {value}")
    RESULTS.mkdir(exist_ok=True)
    document = {"seed": seed, "load_average": load_before[0], "cpus": os.cpu_count()}
    document |= {"rows": [asdict(row) for row in rows]}
    document["goals"] = [
        {"goal": text, "value": value, "met": met} for text, value, met in goals(rows)
    ]
    (RESULTS / "relay.json").write_text(json.dumps(document, indent=1), "utf-8")


if __name__ == "__main__":
    main()
