"""Wrongful refusals and overspend of ways to share a customer's rate.

Seven instances, callers spread unevenly, four fifths of the rate offered in
virtual time, in fixed failures. A refusal is wrongful if one bucket with
perfect knowledge admitted the request. Overspend is the most tokens by which
any span exceeded burst + rate * span, measured at two and a half times the rate. Run as
``python -m bench.rates --seed 1``.
"""

import argparse
import json
import pathlib
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from bench.fleet_shares import MAX_CHARGE_WAIT_S, Fleet

WEIGHTS = (50, 25, 10, 5, 5, 3, 2)
WARM_UP_S = 15.0
FAULT_AT_S = 20.0
END_S = 60.0
OVERLOAD = 2.5
SEEDS = 2
RESULTS = pathlib.Path("bench-results")


@dataclass(frozen=True)
class Way:
    """One way to share: its name and the arguments of the fleet."""

    name: str
    owners: int = 3
    lending: bool = True
    ttl: float | None = None
    charge_wait_s: float = MAX_CHARGE_WAIT_S
    tokens: float = 400.0


WAYS = (
    Way("static split", owners=7, lending=False),
    Way("expire unless renewed, 3 owners", ttl=10.0),
    Way("held until gone, 2 owners", owners=2),
    Way("held until gone, 3 owners"),
    Way("held until gone, 7 owners", owners=7),
    Way("3 owners, charges never wait", charge_wait_s=0.0),
    Way("2 owners, large requests", owners=2, tokens=4000.0),
    Way("3 owners, large requests", tokens=4000.0),
    Way("7 owners, large requests", owners=7, tokens=4000.0),
)


@dataclass(frozen=True)
class Result:
    """The figures of one way in one failure, over all seeds."""

    way: str
    failure: str
    requests: int
    wrongful_percent: float
    overspend_tokens: float
    messages_per_s: float


def no_failure(fleet):
    """Leave the fleet alone."""


def crash(fleet):
    """Crash the busiest instance, which comes back after three seconds."""
    fleet.crash(fleet.nodes["entry-1"])


def crash_for_good(fleet):
    """Crash an owner of the customer for good."""
    table = fleet.nodes["entry-1"].book.table
    fleet.crash(fleet.nodes[table.owners("academy")[0]], restart=False)


def pause(fleet):
    """Stop an owner for fifteen seconds; the list drops it after ten."""
    table = fleet.nodes["entry-1"].book.table
    fleet.pause(fleet.nodes[table.owners("academy")[0]], 15.0)


def outage(fleet):
    """Take the key-value service away for 25 seconds."""
    fleet.service_down = True
    fleet.at(fleet.now + 25.0, lambda: setattr(fleet, "service_down", False))


def outage_and_crash(fleet):
    """Take the service away, and restart the busiest instance meanwhile."""
    outage(fleet)
    fleet.at(fleet.now + 12.0, lambda: crash(fleet))


def cut(fleet):
    """Cut two instances off from the others and the service for 20 s."""
    fleet.cut = {"entry-2", "entry-3"}
    fleet.at(fleet.now + 20.0, fleet.cut.clear)


def herd(fleet):
    """Restart every instance at once."""
    for node in fleet.nodes.values():
        fleet.crash(node)


FAILURES = (
    no_failure,
    crash,
    crash_for_good,
    pause,
    outage,
    outage_and_crash,
    cut,
    herd,
)


def run_one(way: Way, failure, seed: int, load: float) -> Fleet:
    """Return the fleet after one run; its meter counts from the warm-up on."""
    fleet = Fleet(
        seed,
        owners=way.owners,
        lending=way.lending,
        ttl=way.ttl,
        charge_wait_s=way.charge_wait_s,
    )
    fleet.offer_load(load, way.tokens, END_S, WEIGHTS)
    fleet.run(WARM_UP_S)
    meter = fleet.meter
    meter.offered = meter.refused = meter.wrongful = fleet.messages = 0
    fleet.at(FAULT_AT_S, lambda: failure(fleet))
    fleet.run(END_S)
    return fleet


def measure(way: Way, failure, seed: int) -> Result:
    """Return the figures of one way in one failure."""
    seeds = range(seed, seed + SEEDS)
    usual = [run_one(way, failure, number, 0.8) for number in seeds]
    busy = [run_one(way, failure, number, OVERLOAD) for number in seeds]
    requests = sum(fleet.meter.offered for fleet in usual)
    wrongful = sum(fleet.meter.wrongful for fleet in usual)
    worst = min(fleet.meter.worst for fleet in usual + busy)
    messages = sum(fleet.messages for fleet in usual)
    return Result(
        way=way.name,
        failure=failure.__name__,
        requests=requests,
        wrongful_percent=round(100.0 * wrongful / requests, 2),
        overspend_tokens=round(max(0.0, -worst), 1),
        messages_per_s=round(messages / SEEDS / (END_S - WARM_UP_S), 1),
    )


def run(seed: int) -> list[Result]:
    """Return the results of every way in every failure."""
    return [measure(way, failure, seed) for way in WAYS for failure in FAILURES]


def main(argv: Sequence[str] | None = None) -> None:
    """Print the results as a table and write them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    results = run(parser.parse_args(argv).seed)
    print(" | ".join(asdict(results[0])))
    for result in results:
        print(" | ".join(str(value) for value in asdict(result).values()))
    RESULTS.mkdir(exist_ok=True)
    rows = [asdict(result) for result in results]
    (RESULTS / "rates.json").write_text(json.dumps(rows, indent=1), "utf-8")


if __name__ == "__main__":
    main()
