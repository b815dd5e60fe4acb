"""Wrongful refusals and overspend of variants of sharing a customer's rate.

Seven instances with unevenly spread callers run in virtual time, with a fixed set
of failures. Refusals are counted at four fifths of the rate; one is wrongful if a
single bucket with perfect knowledge admitted the request. Overspend is the largest
number of tokens by which any span exceeded burst + rate * span, at that load or at
two and a half times the rate. Run as ``python -m bench.rates --seed 1``.
"""

import argparse
import json
import pathlib
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from bench.fleet_shares import MAX_CHARGE_WAIT_S, Fleet

INSTANCE_WEIGHTS = (50, 25, 10, 5, 5, 3, 2)
WARM_UP_S = 15.0
FAULT_AT_S = 20.0
END_S = 60.0
OVERLOAD_FACTOR = 2.5
SEED_COUNT = 2
RESULTS = pathlib.Path("bench-results")


@dataclass(frozen=True)
class Variant:
    """A variant of sharing: its name, the fleet's arguments, and the request size."""

    name: str
    owners: int = 3
    lending: bool = True
    ttl: float | None = None
    charge_wait_s: float = MAX_CHARGE_WAIT_S
    tokens: float = 400.0


VARIANTS = (
    Variant("static split", owners=7, lending=False),
    Variant("expire unless renewed, 3 owners", ttl=10.0),
    Variant("held until gone, 2 owners", owners=2),
    Variant("held until gone, 3 owners"),
    Variant("held until gone, 7 owners", owners=7),
    Variant("3 owners, charges never wait", charge_wait_s=0.0),
    Variant("2 owners, large requests", owners=2, tokens=4000.0),
    Variant("3 owners, large requests", tokens=4000.0),
    Variant("7 owners, large requests", owners=7, tokens=4000.0),
)


@dataclass(frozen=True)
class Result:
    """The figures of one variant in one failure, over all seeds."""

    way: str
    failure: str
    requests: int
    wrongful_percent: float
    overspend_tokens: float
    messages_per_s: float


def no_failure(fleet):
    """Do nothing."""


def crash(fleet):
    """Crash the busiest instance, which restarts after three seconds."""
    fleet.crash(fleet.nodes["entry-1"])


def crash_for_good(fleet):
    """Crash an owner of the customer's share without a restart."""
    table = fleet.nodes["entry-1"].shares.table
    fleet.crash(fleet.nodes[table.owners("academy")[0]], restart=False)


def pause(fleet):
    """Pause an owner for 15 s; the instance list drops it after ten."""
    table = fleet.nodes["entry-1"].shares.table
    fleet.pause(fleet.nodes[table.owners("academy")[0]], 15.0)


def outage(fleet):
    """Make the key-value service unavailable for 25 s."""
    fleet.service_down = True
    fleet.at(fleet.now + 25.0, lambda: setattr(fleet, "service_down", False))


def outage_and_crash(fleet):
    """Make the service unavailable and restart the busiest instance meanwhile."""
    outage(fleet)
    fleet.at(fleet.now + 12.0, lambda: crash(fleet))


def cut(fleet):
    """Partition two instances from the others and the service for 20 s."""
    fleet.partitioned = {"entry-2", "entry-3"}
    fleet.at(fleet.now + 20.0, fleet.partitioned.clear)


def herd(fleet):
    """Restart all instances at the same time."""
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


def run_one(variant: Variant, failure, seed: int, load: float) -> Fleet:
    """Return the fleet after one run; its meter counts requests after the warm-up."""
    fleet = Fleet(
        seed,
        owners=variant.owners,
        lending=variant.lending,
        ttl=variant.ttl,
        charge_wait_s=variant.charge_wait_s,
    )
    fleet.offer_load(load, variant.tokens, END_S, INSTANCE_WEIGHTS)
    fleet.run(WARM_UP_S)
    meter = fleet.meter
    meter.offered = meter.refused = meter.wrongful_refusals = fleet.messages = 0
    fleet.at(FAULT_AT_S, lambda: failure(fleet))
    fleet.run(END_S)
    return fleet


def measure(variant: Variant, failure, seed: int) -> Result:
    """Return the figures of one variant in one failure."""
    seeds = range(seed, seed + SEED_COUNT)
    normal = [run_one(variant, failure, number, 0.8) for number in seeds]
    overloaded = [
        run_one(variant, failure, number, OVERLOAD_FACTOR) for number in seeds
    ]
    requests = sum(fleet.meter.offered for fleet in normal)
    wrongful = sum(fleet.meter.wrongful_refusals for fleet in normal)
    min_level = min(fleet.meter.min_level for fleet in normal + overloaded)
    messages = sum(fleet.messages for fleet in normal)
    return Result(
        way=variant.name,
        failure=failure.__name__,
        requests=requests,
        wrongful_percent=round(100.0 * wrongful / requests, 2),
        overspend_tokens=round(max(0.0, -min_level), 1),
        messages_per_s=round(messages / SEED_COUNT / (END_S - WARM_UP_S), 1),
    )


def run(seed: int) -> list[Result]:
    """Return the results of every variant in every failure."""
    return [
        measure(variant, failure, seed) for variant in VARIANTS for failure in FAILURES
    ]


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
