"""The effect on other customers of one that sends five times its usual load.

One of the Academy's customers sends five times as much from 60 s on, with no
rate limit before the queue. The fair queue is compared with a queue in order of
arrival, and both with runs of the same seed without the flood. Customer 3 brings
the engines near their capacity, customer 1 beyond it.
"""

import json
import pathlib
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace

import typer

from bench.model import EngineParameters, Fleet, FleetParameters
from bench.placement_cases import COMPLETION_S, END_S, FAULT_AT_S, Figures, figures
from bench.placement_report import spread
from bench.workloads import ACADEMY, Arrival
from cassiaford.policy import (
    FifoQueue,
    RequestQueue,
    create_fair_queue,
    create_placement,
)

RESULTS = pathlib.Path("bench-results")
DEFAULT_SEED_COUNT = 5
WORKERS = 4
GREEDY_CUSTOMERS = ("customer-3", "customer-1")
FLOOD_FACTOR = 5
FIFO_CAPACITY_REQUESTS = 320
FIFO_WAIT_S = 1.0

QUEUES: dict[str, Callable[[], RequestQueue]] = {
    "fair": create_fair_queue,
    "arrival-order": lambda: FifoQueue(FIFO_CAPACITY_REQUESTS, FIFO_WAIT_S),
}


@dataclass(frozen=True)
class FloodCase:
    """One run with a kind of queue, with or without the flood."""

    queue: str
    greedy: str
    flood: bool
    seed: int


@dataclass(frozen=True)
class FloodResult:
    """The figures of the greedy customer and of all others combined."""

    case: FloodCase
    others: Figures
    greedy: Figures


def main(argv: Sequence[str] | None = None) -> None:
    """Run the measurement with these arguments, by default those of the process."""
    app = typer.Typer(add_completion=False)
    app.command()(_measure)
    app(args=argv, standalone_mode=False)


def _measure(seed: int = 1, seeds: int = DEFAULT_SEED_COUNT) -> None:
    """Compare the queues with and without a flood; `seed` is the first seed."""
    cases = [
        FloodCase(queue, greedy, flood, number)
        for greedy in GREEDY_CUSTOMERS
        for flood in (False, True)
        for queue in QUEUES
        for number in range(seed, seed + seeds)
    ]
    with ProcessPoolExecutor(WORKERS) as executor:
        results = list(executor.map(run_case, cases))
    print("others: the customers that keep to their rates; median (range) of seeds")
    groups = dict.fromkeys(replace(case, seed=seed) for case in cases)
    for group in groups:
        _print(
            group,
            [result for result in results if replace(result.case, seed=seed) == group],
        )
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / "fairness.json"
    path.write_text(json.dumps([asdict(result) for result in results]), "utf-8")


def run_case(case: FloodCase) -> FloodResult:
    """Run one case and return its figures."""
    fleet = Fleet(
        ACADEMY.engines,
        ACADEMY.instances,
        EngineParameters(),
        FleetParameters(),
        lambda fleet: create_placement(),
        case.seed,
        QUEUES[case.queue],
    )
    arrivals = ACADEMY.arrivals(case.seed, END_S)
    fleet.run(
        _flooded(arrivals, case) if case.flood else arrivals, END_S + COMPLETION_S
    )
    others, greedy = [], []
    for record in fleet.records.values():
        is_greedy = record.arrival.customer == case.greedy
        (greedy if is_greedy else others).append(record)
    return FloodResult(
        case,
        figures(others, FAULT_AT_S, END_S),
        figures(greedy, FAULT_AT_S, END_S),
    )


def _flooded(arrivals: Iterator[Arrival], case: FloodCase) -> list[Arrival]:
    # The flood consists of the same customer's requests drawn with other seeds.
    extra = [
        arrival
        for number in range(1, FLOOD_FACTOR)
        for arrival in ACADEMY.arrivals(case.seed + 1000 * number, END_S)
        if arrival.customer == case.greedy and arrival.time >= FAULT_AT_S
    ]
    return sorted([*arrivals, *extra], key=lambda arrival: arrival.time)


def _print(group, results):
    def values(name, customers):
        return spread([getattr(getattr(result, customers), name) for result in results])

    flood = "flood" if group.flood else "no flood"
    print(f"{flood} of {group.greedy}, {group.queue} queue")
    for customers in ("others", "greedy"):
        print(
            f"  {customers}: requests {values('requests', customers).median:.0f}"
            f"  p50 {values('first_token_p50_s', customers)} s"
            f"  p99 {values('first_token_p99_s', customers)} s"
            f"  in time {values('in_time', customers)}"
            f"  refused {values('refused', customers)}"
        )


if __name__ == "__main__":
    main()
