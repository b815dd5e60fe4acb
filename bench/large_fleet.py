"""The processor time of one gateway among many, without its requests.

Run as ``python -m bench.large_fleet``. Peers' reports arrive over a socket, as in
service, and the housekeeping and the customers' charges go on between them. The
lines give the processor time by part; ``--profile`` prints the functions that
took most of it.
"""

import argparse
import asyncio
import cProfile
import pstats
import random
import socket
import time
from collections.abc import Sequence

from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._peer_codec import Report, encode_report
from cassiaford.gateway._peers import PeerReports
from cassiaford.gateway._view import digest
from cassiaford.gateway.policy import (
    EnginePlacer,
    FleetRates,
    Limit,
    PeerState,
    PeerTable,
    PlacedWork,
    ServicePlacer,
)

REPORTS_PER_S = 10
WHOLE_EVERY_REPORTS = 10
HOUSEKEEPING_PER_S = 5
CHARGES_PER_S = 10
# Servers and customers that change from one report to the next.
CHANGED_SERVERS, CHANGED_CUSTOMERS = 3, 2


class Peers:
    """Seeded reports of the other instances, in the order in which they are sent."""

    def __init__(self, rng: random.Random, size: int, servers: int, customers: int):
        self.rng = rng
        self.states = [
            PeerState(f"entry-{n}", 1, "cluj-a", f"10.1.0.{n}:8606", f"10.1.0.{n}:7600")
            for n in range(size)
        ]
        self.servers = [rng.getrandbits(32) for _ in range(servers)]
        self.customers = [f"customer-{n}" for n in range(customers)]
        self.work = {state.name: {} for state in self.states}
        self.spending = {state.name: {} for state in self.states}

    def datagrams(self, rounds: int) -> list[list[bytes]]:
        """Return the reports of a number of rounds."""
        return [
            [self._report(state, number + 1) for state in self.states]
            for number in range(rounds)
        ]

    def _report(self, state, sequence):
        rng = self.rng
        work, spending = self.work[state.name], self.spending[state.name]
        changed = {
            server: PlacedWork(rng.randrange(6_000_000), 3, 20_000, 1)
            for server in rng.sample(self.servers, CHANGED_SERVERS)
        }
        spent = {
            digest(name): spending.get(digest(name), 0) + rng.randrange(12_000)
            for name in rng.sample(self.customers, CHANGED_CUSTOMERS)
        }
        work.update(changed)
        spending.update(spent)
        whole = sequence % WHOLE_EVERY_REPORTS == 1
        return encode_report(
            Report(
                sender=digest(state.name),
                incarnation=1,
                sequence=sequence,
                state=state if whole else None,
                revision=sequence,
                prefill_speed=140_000 if whole else 0,
                work=work if whole else changed,
                spending=spending if whole else spent,
                placements=((rng.getrandbits(32), rng.choice(self.servers)),),
            )
        )


def create_reports(peers: Peers) -> PeerReports:
    """Return the reports of the measured instance, which knows all peers."""
    log = EventLog("entry-own", 1)
    log.write = lambda event, **details: None
    rates = FleetRates()
    limits = {name: Limit(100_000.0, 100_000.0) for name in peers.customers}
    rates.configure(limits, 0.0)
    own = PeerState("entry-own", 1, "cluj-a", "10.1.1.1:8606", "127.0.0.1:1")
    engines, services = EnginePlacer(), ServicePlacer()
    crashes = CrashMonitor(own.name, "suspects/", None, None, random.Random(1), log)
    table = PeerTable()
    reports = PeerReports(own, table, engines, services, rates, crashes, log)
    reports.set_customers(peers.customers)
    reports.revision = lambda: 1 << 40
    return reports


async def receive(seed: int, size: int, servers: int, customers: int, seconds: int):
    """Receive the reports of some seconds; return the processor time by part."""
    peers = Peers(random.Random(seed), size - 1, servers, customers)
    rounds = peers.datagrams(seconds * REPORTS_PER_S)
    reports = create_reports(peers)
    loop = asyncio.get_running_loop()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    transport, _ = await loop.create_datagram_endpoint(
        lambda: reports, local_addr=("127.0.0.1", 0)
    )
    sender.connect(transport.get_extra_info("sockname"))
    times = dict.fromkeys(("receive", "charge", "housekeeping"), 0.0)
    for number, datagrams in enumerate(rounds):
        for datagram in datagrams:
            sender.send(datagram)
        started_at = time.process_time()
        newest = peers.states[-1]
        while reports._newest.get(digest(newest.name), (0, 0))[1] <= number:
            await asyncio.sleep(0)
        received_at = time.process_time()
        now = loop.time()
        for index in range(CHARGES_PER_S // REPORTS_PER_S):
            name = peers.customers[(number + index) % len(peers.customers)]
            reports.rates.charge(name, 10.0, now)
        charged_at = time.process_time()
        if number % (REPORTS_PER_S // HOUSEKEEPING_PER_S) == 0:
            reports.table.expire(now)
            reports.rates.set_members(reports.table.expected(), now)
            reports.all_out_of_use()
        times["receive"] += received_at - started_at
        times["charge"] += charged_at - received_at
        times["housekeeping"] += time.process_time() - charged_at
    transport.close()
    sender.close()
    return times


def main(argv: Sequence[str] | None = None) -> None:
    """Print the processor time of each part in fractions of a core."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=70)
    parser.add_argument("--servers", type=int, default=60)
    parser.add_argument("--customers", type=int, default=16)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args(argv)
    profile = cProfile.Profile()
    run = receive(
        options.seed,
        options.instances,
        options.servers,
        options.customers,
        options.seconds,
    )
    runcall = profile.runcall if options.profile else _call
    times = runcall(asyncio.run, run)
    for part, spent_s in times.items():
        print(f"{part:13} {100 * spent_s / options.seconds:6.2f} % of a core")
    if options.profile:
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)


def _call(function, argument):
    return function(argument)


if __name__ == "__main__":
    main()
