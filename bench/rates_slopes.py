"""The cost of rate shares for an instance, at three sizes of the fleet.

Run as ``python -m bench.rates_slopes``. Sizes of state and messages are
deterministic; the times to apply a new ledger and for a tick depend on the machine.
"""

import json
import pathlib
import time
import tracemalloc
from dataclasses import asdict, dataclass

from cassiaford.fleet._rates_codec import encode_ledger, encode_message
from cassiaford.policy import (
    Holder,
    Ledger,
    LedgerPoll,
    LedgerReport,
    Limit,
    LoanGrant,
    LoanRequest,
    RateShares,
)

SIZES = ((7, 5), (70, 760), (370, 4000))
RESULTS = pathlib.Path("bench-results")


@dataclass(frozen=True)
class Slope:
    """The cost of rate shares for one instance at one size."""

    instances: int
    customers: int
    owned_customers: int
    state_bytes: int
    bytes_per_customer: float
    adopt_ms: float
    tick_ms: float
    ledger_bytes: int
    ask_bytes: int
    grant_bytes: int
    poll_bytes: int
    report_bytes: int


def create_shares(limits, holders) -> RateShares:
    """Return rate shares configured with the limits and a ledger of the holders."""
    rate_shares = RateShares("entry-0", 1, 0.0)
    rate_shares.configure(limits, 0.0)
    rate_shares.apply_ledger(Ledger(1, holders), 0.0)
    return rate_shares


def measure(instances: int, customers: int) -> Slope:
    """Return the cost for a number of instances and of customers."""
    holders = tuple(Holder(f"entry-{n}", 1) for n in range(instances))
    limits = {f"customer-{n}": Limit(1e4, 2e4) for n in range(customers)}
    tracemalloc.start()
    measured = create_shares(limits, holders[:-1])
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del measured
    rate_shares = create_shares(limits, holders[:-1])
    started_at = time.perf_counter()
    rate_shares.apply_ledger(Ledger(2, holders), 0.0)
    adopt_s = time.perf_counter() - started_at
    for name in limits:
        if rate_shares.table.fraction(name, "entry-0"):
            rate_shares.charge(name, 1.0, 0.1)
    owned = len(rate_shares.shares)
    rate_shares.awaits_growth = False
    started_at = time.perf_counter()
    rate_shares.tick(0.15)
    tick_s = time.perf_counter() - started_at
    return Slope(
        instances=instances,
        customers=customers,
        owned_customers=owned,
        state_bytes=state_bytes,
        bytes_per_customer=round(state_bytes / customers, 1),
        adopt_ms=round(adopt_s * 1000, 2),
        tick_ms=round(tick_s * 1000, 2),
        ledger_bytes=len(encode_ledger(Ledger(2, holders))),
        ask_bytes=len(encode_message(LoanRequest("customer-1", 1000, 500.0))),
        grant_bytes=len(encode_message(LoanGrant("customer-1", 1000, 500.0, 10.0))),
        poll_bytes=len(encode_message(LedgerPoll(10, 2))),
        report_bytes=len(encode_message(LedgerReport(10, 2, True))),
    )


def main() -> None:
    """Print the slopes as a table and write them as JSON."""
    slopes = [measure(instances, customers) for instances, customers in SIZES]
    print(" | ".join(asdict(slopes[0])))
    for slope in slopes:
        print(" | ".join(str(value) for value in asdict(slope).values()))
    RESULTS.mkdir(exist_ok=True)
    rows = [asdict(slope) for slope in slopes]
    (RESULTS / "rates_slopes.json").write_text(json.dumps(rows, indent=1), "utf-8")


if __name__ == "__main__":
    main()
