"""The cost of membership for an instance, at three sizes of the fleet.

Runs the membership decisions in virtual time in one process and encodes,
authenticates and decodes every message as the product does. Byte rates
include the IP and UDP headers. Processor time excludes the operating system's
work for a datagram, which is measured separately.

    python -m bench.membership
"""

import argparse
import json
import pathlib
import socket
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from cassiaford.fleet import Channel
from cassiaford.fleet._authenticator import FrameAuthenticator, Identity
from cassiaford.fleet._codec import decode_membership, encode_membership
from cassiaford.timeline import HybridClock
from tests.virtual_fleet import VirtualFleet

SIZES = (7, 70, 370)
STEADY_SPAN_S = 60.0
CONVERGENCE_TIMEOUT_S = 120.0
MAX_BYTES_PER_S = 4096.0
MAX_CORE_FRACTION = 0.033
SECRET = b"a secret that is only for the bench"
IP_UDP_HEADER_BYTES = 28
WALL_CLOCK_START_S = 1_790_000_000
# As large as an incarnation taken from the wall clock, in milliseconds.
INCARNATION = WALL_CLOCK_START_S * 1000


@dataclass(frozen=True)
class Cost:
    """The cost of membership for one instance of a fleet in the steady state."""

    instances: int
    messages_sent_per_s: float
    bytes_sent_per_s: float
    bytes_received_per_s: float
    core_share: float
    largest_datagram_bytes: int
    herd_restart_s: float
    herd_restart_bytes_sent_per_s: float
    detection_s: float
    false_deaths: int


class _Meter:
    """Counter of bytes that encodes and decodes each message in transit."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.authenticators = {}
        self.reset()
        fleet.on_send = self.on_send

    def reset(self):
        self.messages = 0
        self.bytes = 0
        self.largest = 0

    def on_send(self, sender, receiver, message):
        body = encode_membership(message)
        frame = self.authenticator(sender).create_frame(
            receiver or "", Channel.MEMBERSHIP, body
        )
        self.messages += 1
        self.bytes += len(frame) + IP_UDP_HEADER_BYTES
        self.largest = max(self.largest, len(frame))
        if receiver in self.fleet.nodes:
            received = self.authenticator(receiver).accept(frame)
            decode_membership(received.body)

    def wall_clock(self):
        return WALL_CLOCK_START_S + self.fleet.now

    def authenticator(self, name):
        if name not in self.authenticators:
            identity = Identity(name, INCARNATION, SECRET)
            self.authenticators[name] = FrameAuthenticator(
                identity, HybridClock(self.wall_clock)
            )
        return self.authenticators[name]


def measure(size: int, seed: int) -> Cost:
    """Return the cost for an instance in a fleet of a size."""
    fleet = VirtualFleet(seed)
    meter = _Meter(fleet)
    for number in range(size):
        fleet.start(f"entry-{number}", ["entry-0", "entry-1", "entry-2"], INCARNATION)
    herd_s = fleet.run_until(fleet.agreed, CONVERGENCE_TIMEOUT_S)
    herd_rate = meter.bytes / size / herd_s
    largest = meter.largest
    fleet.run(STEADY_SPAN_S)
    meter.reset()
    started_at = time.process_time()
    fleet.run(STEADY_SPAN_S)
    used_s = time.process_time() - started_at
    per_s = 1.0 / (size * STEADY_SPAN_S)
    sent, messages = meter.bytes, meter.messages
    largest = max(largest, meter.largest)
    false_deaths = sum(update.state >= 2 for _, _, update in fleet.changes)
    fleet.kill(f"entry-{size - 1}")
    detection_s = fleet.run_until(fleet.agreed, CONVERGENCE_TIMEOUT_S)
    return Cost(
        instances=size,
        messages_sent_per_s=round(messages * per_s, 3),
        bytes_sent_per_s=round(sent * per_s, 1),
        bytes_received_per_s=round(sent * per_s, 1),
        core_share=round(used_s * per_s, 6),
        largest_datagram_bytes=largest,
        herd_restart_s=round(herd_s, 1),
        herd_restart_bytes_sent_per_s=round(herd_rate, 1),
        detection_s=round(detection_s, 1),
        false_deaths=false_deaths,
    )


def datagram_cost_s(count: int = 20_000, size: int = 300) -> float:
    """Return the processor time to send and receive one datagram."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        address, body = sock.getsockname(), bytes(size)
        started_at = time.process_time()
        for _ in range(count):
            sock.sendto(body, address)
            sock.recv(2048)
        return (time.process_time() - started_at) / count


def main(argv: Sequence[str] | None = None) -> None:
    """Measure all sizes, print a table and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    arguments = parser.parse_args(argv)
    costs = [measure(size, arguments.seed) for size in arguments.sizes]
    results = {
        "seed": arguments.seed,
        "limits": {"bytes_per_s": MAX_BYTES_PER_S, "core_share": MAX_CORE_FRACTION},
        "datagram_cost_s": datagram_cost_s(),
        "costs": [asdict(cost) for cost in costs],
    }
    folder = pathlib.Path("bench-results")
    folder.mkdir(exist_ok=True)
    (folder / "membership.json").write_text(json.dumps(results, indent=2))
    for cost in costs:
        print(json.dumps(asdict(cost)))
    print(f"one datagram costs the system {results['datagram_cost_s'] * 1e6:.1f} us")


if __name__ == "__main__":
    main()
