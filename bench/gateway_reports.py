"""The cost of reports between gateways by size: bytes and processor time.

Run as ``python -m bench.gateway_reports``. The table gives the costs of reports
of several sizes. The lines below it give the bytes for each entry and the costs
of the smallest report at the fleet size that the design is meant for, and say
what exceeds the limits.
"""

import argparse
import random
import time
from collections.abc import Sequence

from cassiaford.gateway._peer_codec import Report, decode_message, encode_report
from cassiaford.gateway.policy import (
    EnginePlacer,
    FleetRates,
    Limit,
    PeerState,
    PlacedWork,
)

REPORTS_PER_S = 10
REPEATS = 2000
SIZES = (10, 100, 760)
INSTANCES, SERVERS, CUSTOMERS = 370, 760, 4000
STATE = PeerState("entry-1", 1, "cluj-a", "10.1.0.24:8606", "10.1.0.24:7600")
# The limits of one instance's control work at full size.
MAX_CORES, MAX_BYTES_PER_S = 0.033, 4000


def report(rng: random.Random, servers: int, customers: int) -> Report:
    """Return a report with a number of changed servers and customers."""
    return Report(
        sender=rng.getrandbits(32),
        incarnation=1,
        sequence=1,
        work={
            rng.getrandbits(32): PlacedWork(rng.randrange(6_000_000), 3, 20_000)
            for _ in range(servers)
        },
        spending={rng.getrandbits(32): rng.getrandbits(40) for _ in range(customers)},
    )


def cpu_seconds_per_call(function, repeats: int) -> float:
    """Return the processor time of one call in seconds."""
    started_at = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started_at) / repeats


def measure(rng: random.Random, servers: int) -> tuple[int, float, float, float]:
    """Return a report's bytes, and the seconds to encode, decode and apply it."""
    message = report(rng, servers, servers)
    data = encode_report(message)
    repeats = max(20, REPEATS // servers)
    placer = EnginePlacer()
    rates = FleetRates()
    rates.configure({str(c): Limit(1e6, 1e6) for c in message.spending}, 0.0)
    spent = {str(c): t for c, t in message.spending.items()}

    def apply_report():
        placer.update_from_peer("b", message.work, False, 0.0)
        rates.update_from_peer("b", 1, spent, 0.0)

    return (
        len(data),
        cpu_seconds_per_call(lambda: encode_report(message), repeats),
        cpu_seconds_per_call(lambda: decode_message(data), repeats),
        cpu_seconds_per_call(apply_report, repeats),
    )


def main(argv: Sequence[str] | None = None) -> None:
    """Print the costs by size and the costs at full size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args(argv).seed)
    print("servers and customers changed | bytes | write us | read us | take in us")
    rows = {size: measure(rng, size) for size in SIZES}
    for size, (length, *times) in rows.items():
        formatted = " | ".join(f"{t * 1e6:8.0f}" for t in times)
        print(f"{size:29} | {length:5} | {formatted}")
    small, large = rows[SIZES[0]], rows[SIZES[-1]]
    span = SIZES[-1] - SIZES[0]
    per_entry = (large[0] - small[0]) / span
    receive_s = sum(small[2:])
    received_per_s = (INSTANCES - 1) * REPORTS_PER_S
    print(f"\n{per_entry:.1f} bytes a server and customer changed")
    print(f"every instance to every other, {INSTANCES} instances:")
    cpu = received_per_s * receive_s
    print(f"  received {received_per_s} reports/s: {100 * cpu:.0f} % of a core", end="")
    print(f" (limit {100 * MAX_CORES:.1f} %): {'fits' if cpu < MAX_CORES else 'NO'}")
    sent = received_per_s * small[0]
    print(
        f"  sent {sent / 1000:.0f} KB/s (limit {MAX_BYTES_PER_S / 1000:.0f} KB/s):",
        end="",
    )
    print(f" {'fits' if sent < MAX_BYTES_PER_S else 'NO'}")


if __name__ == "__main__":
    main()
