"""The cost of placement: time of a decision and of a cache event, and memory.

Times are processor times of the thread, so that other work on the machine affects
them as little as possible.
"""

import json
import pathlib
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

import typer
from hdrh.histogram import HdrHistogram

from cassiaford.engines import CacheEvent, CacheEventKind, CacheEvents
from cassiaford.policy import (
    PlacementRequest,
    PrefixPlacement,
    ServerView,
    create_placement,
)

RESULTS = pathlib.Path("bench-results")
SERVERS = (10, 100, 380, 760)
PREFIXES = (20, 200, 2000)
DOCUMENT_BLOCKS = 16
SECTION_BLOCKS = 6
SECTIONS = 8
DECISIONS = 4000
WARM_UP_DECISIONS = 1000
REQUEST_INTERVAL_S = 0.04
FIRST_TOKEN_S = 0.1
EVENTS = 20_000
EVENTS_PER_MESSAGE = 200
SLOTS = 32
MAX_NANOSECONDS = 10**9


@dataclass(frozen=True)
class Cost:
    """The cost of placement at one size.

    `memory_bytes` is the memory that the policy uses, as counted by `tracemalloc`.
    """

    servers: int
    prefixes: int
    known_blocks: int
    decision_p50_us: float
    decision_p99_us: float
    started_p50_us: float
    event_us: float
    memory_bytes: int


def main(argv: Sequence[str] | None = None) -> None:
    """Run the measurement with these arguments, by default those of the process."""
    app = typer.Typer(add_completion=False)
    app.command()(_measure)
    app(args=argv, standalone_mode=False)


def _measure(seed: int = 1) -> None:
    """Measure every combination of numbers of servers and prefixes."""
    costs = [
        measure_cost(servers, prefixes, seed)
        for servers in SERVERS
        for prefixes in PREFIXES
    ]
    print(
        f"{'servers':>8}{'prefixes':>9}{'blocks':>8}{'p50 us':>8}{'p99 us':>8}"
        f"{'started us':>11}{'event us':>9}{'memory MB':>10}"
    )
    for cost in costs:
        print(
            f"{cost.servers:8}{cost.prefixes:9}{cost.known_blocks:8}"
            f"{cost.decision_p50_us:8.0f}{cost.decision_p99_us:8.0f}"
            f"{cost.started_p50_us:11.0f}{cost.event_us:9.2f}"
            f"{cost.memory_bytes / 1e6:10.1f}"
        )
    RESULTS.mkdir(exist_ok=True)
    document = {"seed": seed, "costs": [asdict(cost) for cost in costs]}
    path = RESULTS / "placement_cost.json"
    path.write_text(json.dumps(document, indent=1) + "\n", "utf-8")


def measure_cost(servers: int, prefixes: int, seed: int) -> Cost:
    """Return the cost with a number of servers and of known prefixes."""
    placement_times, start_times = _timed_run(servers, prefixes, seed)
    policy, memory = _filled_policy(servers, prefixes, seed)
    return Cost(
        servers,
        prefixes,
        len(policy.table),
        placement_times.get_value_at_percentile(50) / 1000,
        placement_times.get_value_at_percentile(99) / 1000,
        start_times.get_value_at_percentile(50) / 1000,
        _event_cost(create_placement(), servers, seed),
        memory,
    )


def _filled_policy(servers, prefixes, seed):
    tracemalloc.start()
    policy = create_placement()
    _event_cost(policy, servers, seed)
    run = _Run(policy, servers, prefixes, seed)
    run.serve(DECISIONS)
    # The run's histograms and requests do not count as the policy's memory.
    del run
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return policy, memory


def _timed_run(servers, prefixes, seed):
    run = _Run(create_placement(), servers, prefixes, seed)
    run.serve(WARM_UP_DECISIONS)
    run.placement_times.reset()
    run.start_times.reset()
    run.serve(DECISIONS)
    return run.placement_times, run.start_times


class _Run:
    """A sequence of requests with a number of prefixes, placed one by one."""

    def __init__(self, policy: PrefixPlacement, servers: int, prefixes: int, seed: int):
        self.policy = policy
        self.prefixes = prefixes
        self.rng = random.Random(seed)
        self.views = [ServerView(f"engine-{n}", SLOTS) for n in range(servers)]
        self.placement_times = HdrHistogram(1, MAX_NANOSECONDS, 3)
        self.start_times = HdrHistogram(1, MAX_NANOSECONDS, 3)
        self.served = 0

    def serve(self, count: int) -> None:
        """Place a number of requests and record their start, first token and end."""
        for _ in range(count):
            self.served += 1
            self._serve_one(self._request(), self.served * REQUEST_INTERVAL_S)

    def _serve_one(self, request, now):
        policy = self.policy
        placement = _timed(
            self.placement_times,
            lambda: policy.place(request, self.views, now, self.rng),
        )
        _timed(self.start_times, lambda: policy.record_start(placement, request, now))
        policy.record_first_token(request.request_id, now + FIRST_TOKEN_S)
        policy.record_end(request.request_id, now + FIRST_TOKEN_S)

    def _request(self):
        document = self.rng.randrange(self.prefixes)
        section = self.rng.randrange(SECTIONS)
        chain = (
            *_blocks(document, DOCUMENT_BLOCKS),
            *_blocks(f"{document}/{section}", SECTION_BLOCKS),
            self.rng.getrandbits(64),
        )
        tokens = 1024 * len(chain)
        return PlacementRequest(f"r{self.served}", tokens, 100, chain)


def _blocks(name: object, count: int) -> list[int]:
    rng = random.Random(f"blocks of {name}")
    return [rng.getrandbits(64) for _ in range(count)]


def _timed(histogram: HdrHistogram, call: Callable[[], object]) -> object:
    start = time.thread_time_ns()
    result = call()
    histogram.record_value(max(1, time.thread_time_ns() - start))
    return result


def _event_cost(policy: PrefixPlacement, servers: int, seed: int) -> float:
    rng = random.Random(seed)
    messages = [
        (f"engine-{rng.randrange(servers)}", _message(rng))
        for _ in range(EVENTS // EVENTS_PER_MESSAGE)
    ]
    start = time.thread_time_ns()
    for name, message in messages:
        policy.observe_events(name, message, 1.0)
    return (time.thread_time_ns() - start) / EVENTS / 1000


def _message(rng: random.Random) -> CacheEvents:
    kinds = (CacheEventKind.STORED, CacheEventKind.STORED, CacheEventKind.EVICTED)
    events = tuple(
        CacheEvent(number, rng.choice(kinds), rng.getrandbits(64))
        for number in range(EVENTS_PER_MESSAGE)
    )
    return CacheEvents("engine#1", events, EVENTS_PER_MESSAGE, gap=False)


if __name__ == "__main__":
    main()
