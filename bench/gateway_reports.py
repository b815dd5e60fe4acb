"""What the reports between gateways cost, by size: bytes and processor time.

Run as ``python -m bench.gateway_reports``. Each figure is the slope between
sizes; the last table carries them to the size that the design is built
towards, and says what does not fit.
"""

import argparse
import random
import time
from collections.abc import Sequence

from cassiaford.gateway._peer_codec import Report, decode_report, encode_report
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
# The bounds of control work for one instance at full size.
CPU_SHARE, BYTES_PER_S = 0.033, 4000


def report(rng: random.Random, servers: int, customers: int) -> Report:
    """Return a report in which so many servers and customers have changed."""
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


def seconds_each(function, repeats: int) -> float:
    """Return the processor time of one call."""
    began = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - began) / repeats


def measure(rng: random.Random, servers: int) -> tuple[int, float, float, float]:
    """Return a report's bytes, and the seconds to write, read and take it in."""
    message = report(rng, servers, servers)
    data = encode_report(message)
    repeats = max(20, REPEATS // servers)
    book = EnginePlacer()
    rates = FleetRates()
    rates.configure({str(c): Limit(1e6, 1e6) for c in message.spending}, 0.0)
    spent = {str(c): t for c, t in message.spending.items()}

    def take_in():
        book.update_from_peer("b", message.work, False, 0.0)
        rates.update_from_peer("b", 1, spent, 0.0)

    return (
        len(data),
        seconds_each(lambda: encode_report(message), repeats),
        seconds_each(lambda: decode_report(data), repeats),
        seconds_each(take_in, repeats),
    )


def main(argv: Sequence[str] | None = None) -> None:
    """Print the slopes, and what they mean at full size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args(argv).seed)
    print("servers and customers changed | bytes | write us | read us | take in us")
    rows = {size: measure(rng, size) for size in SIZES}
    for size, (length, *times) in rows.items():
        shown = " | ".join(f"{t * 1e6:8.0f}" for t in times)
        print(f"{size:29} | {length:5} | {shown}")
    small, large = rows[SIZES[0]], rows[SIZES[-1]]
    span = SIZES[-1] - SIZES[0]
    per_entry = (large[0] - small[0]) / span
    read_s = sum(small[2:])
    heard_per_s = (INSTANCES - 1) * REPORTS_PER_S
    print(f"\n{per_entry:.1f} bytes a server and customer changed")
    print(f"every instance to every other, {INSTANCES} instances:")
    cpu = heard_per_s * read_s
    print(f"  heard {heard_per_s} reports/s: {100 * cpu:.0f} % of a core", end="")
    print(f" (bound {100 * CPU_SHARE:.1f} %): {'fits' if cpu < CPU_SHARE else 'NO'}")
    sent = heard_per_s * small[0]
    print(
        f"  sent {sent / 1000:.0f} KB/s (bound {BYTES_PER_S / 1000:.0f} KB/s):", end=""
    )
    print(f" {'fits' if sent < BYTES_PER_S else 'NO'}")


if __name__ == "__main__":
    main()
