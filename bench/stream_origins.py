"""The cost of telling where streams began, at three sizes of the fleet.

Each instance is told of the streams of others at the rate at which it tells its
own. Byte rates include the IP and UDP headers, and processor time the sending
and the receiving of each datagram over a loopback socket. Memory is that of a
table in the steady state, or of a full one.

    python -m bench.stream_origins
"""

import argparse
import asyncio
import random
import socket
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from cassiaford.gateway._peer_codec import OriginMessage, decode_message
from cassiaford.gateway._shared_origins import TOLD_PEERS, SharedStreamOrigins
from cassiaford.gateway.policy import PeerState, PeerTable
from cassiaford.origins import (
    MAX_ORIGINS,
    ORIGIN_TTL_S,
    OriginRecord,
    OriginTable,
    StreamOrigin,
    origin_digest,
)

# Instances, and requests a second at each of them: those of a deployment of today,
# and those of the size that the design is meant for. All are taken for streams.
SIZES = ((6, 25.0 / 6), (70, 9200.0 / 370), (370, 9200.0 / 370))
STREAMS = 2000
IP_UDP_HEADER_BYTES = 28
ORIGINS = tuple(StreamOrigin("service-check", f"v1.{n}") for n in range(3))
# The limits of one instance's control work at full size.
MAX_CORES, MAX_BYTES_PER_S = 0.033, 4000


@dataclass(frozen=True)
class Cost:
    """The cost of origins for one instance."""

    instances: int
    streams_per_s: float
    datagram_bytes: float
    sent_bytes_per_s: float
    cores: float
    lookup_s: float
    origins: int
    memory_bytes: int


class _Peers:
    """Sends datagrams to a socket of its own and keeps them for the receivers."""

    def __init__(self):
        self.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.receiver.bind(("127.0.0.1", 0))
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.address = self.receiver.getsockname()
        self.bytes = 0
        self.count = 0

    def send(self, data, address):
        self.bytes += len(data) + IP_UDP_HEADER_BYTES
        self.count += 1
        self.sender.sendto(data, self.address)

    def receive(self):
        return self.receiver.recv(2048)

    def close(self):
        self.sender.close()
        self.receiver.close()


def create_origins(instances: int, peers: _Peers) -> SharedStreamOrigins:
    """Return the origins of an instance that hears all its peers."""
    table = PeerTable()
    now = asyncio.get_running_loop().time()
    for number in range(1, instances):
        name = f"front-cluj-{number}"
        table.update_from_peer(
            PeerState(name, 1, "cluj", f"{name}:80", f"{name}:7600"), now
        )
    origins = SharedStreamOrigins(table)
    origins.send = peers.send
    return origins


async def measure(instances: int, streams_per_s: float, rng: random.Random) -> Cost:
    """Return the cost of an instance in a fleet of a size."""
    peers = _Peers()
    origins = create_origins(instances, peers)
    attempts = [f"{rng.getrandbits(64):016x}" for _ in range(STREAMS)]
    started_at = time.process_time()
    for attempt in attempts:
        origins.record(attempt, rng.choice(ORIGINS))
        for _ in range(min(TOLD_PEERS, instances - 1)):
            origins.receive(decode_message(peers.receive()), "10.1.0.24:7600")
    stream_s = (time.process_time() - started_at) / STREAMS
    sent_bytes, datagrams = peers.bytes, peers.count
    started_at = time.process_time()
    for attempt in attempts:
        origins.receive(OriginMessage(asked=(origins.origins.digest(attempt),)), "a:1")
        peers.receive()
    lookup_s = (time.process_time() - started_at) / STREAMS
    peers.close()
    held = round(streams_per_s * (1 + TOLD_PEERS) * ORIGIN_TTL_S)
    held = min(held, MAX_ORIGINS)
    return Cost(
        instances,
        streams_per_s,
        sent_bytes / datagrams,
        sent_bytes / STREAMS * streams_per_s,
        stream_s * streams_per_s,
        lookup_s,
        held,
        memory_of(held, rng),
    )


def memory_of(count: int, rng: random.Random) -> int:
    """Return the bytes of a table of a number of streams; a third are its own."""
    tracemalloc.start()
    table = OriginTable()
    for number in range(count):
        origin = ORIGINS[number % 3]
        if number % (1 + TOLD_PEERS):
            table.learn(OriginRecord(rng.getrandbits(64), origin_digest(origin)), 0.0)
        else:
            table.record(f"{rng.getrandbits(64):016x}", origin, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def main(argv: Sequence[str] | None = None) -> None:
    """Print the costs by size, and which of them exceed the limits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args(argv).seed)
    print(
        "instances | streams/s | datagram | sent B/s | % of a core | answer us", end=""
    )
    print(" | origins | MB")
    for instances, streams_per_s in SIZES:
        cost = asyncio.run(measure(instances, streams_per_s, rng))
        fits = cost.cores <= MAX_CORES and cost.sent_bytes_per_s <= MAX_BYTES_PER_S
        print(
            f"{cost.instances:9} | {cost.streams_per_s:9.0f} |"
            f" {cost.datagram_bytes:8.0f} | {cost.sent_bytes_per_s:8.0f} |"
            f" {100 * cost.cores:11.2f} | {cost.lookup_s * 1e6:9.0f} |"
            f" {cost.origins:7} | {cost.memory_bytes / 1e6:.2f}"
            f" {'fits' if fits else 'NO'}"
        )


if __name__ == "__main__":
    main()
