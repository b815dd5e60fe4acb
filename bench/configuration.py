"""Propagation delay and cost of a configuration change among peers.

One instance receives each change from the key-value service. All others cannot
reach the service and receive it from peers alone, by notices and heartbeats, in
virtual time with 1.5 ms one way. The cost of the configuration document itself
is measured at three numbers of customers.

    python -m bench.configuration
"""

import argparse
import heapq
import itertools
import json
import pathlib
import random
import statistics
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from cassiaford.config import (
    EMPTY_CONFIGURATION,
    Customer,
    PutCustomer,
    PutKey,
    Revision,
    apply_changes,
    find_customer,
    issue_key,
)
from cassiaford.fleet._configuration import NOTICE_FANOUT
from cassiaford.fleet._revision_codec import decode_configuration, encode_configuration
from cassiaford.policy import RevisionPolicy

FLEET_SIZES = (7, 70, 370)
CUSTOMERS = (100, 1000, 4000)
CHANGE_COUNT = 20
PEER_ONE_WAY_S = 0.0015
HEARTBEAT_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.1
MAX_PROPAGATION_S = 5.0


@dataclass(frozen=True)
class Spread:
    """Propagation of changes over instances that cannot reach the service."""

    instances: int
    loss: float
    median_s: float
    slowest_s: float
    notices_per_instance: float
    fetches_per_instance: float


@dataclass(frozen=True)
class DocumentCost:
    """The cost of a configuration document with a number of customers."""

    customers: int
    snapshot_bytes: int
    memory_bytes: int
    apply_ms: float
    encode_ms: float
    decode_ms: float
    key_check_us: float


class _Propagation:
    """Revision policies of a fleet in virtual time; messages are lost at random."""

    def __init__(self, size, loss, seed):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.policies = [RevisionPolicy(4.0, random.Random(n)) for n in range(size)]
        for policy in self.policies:
            policy.record_service_load(0.0)
            policy.record_service_failure()
        self.events = []
        self.numbers = itertools.count()
        self.notices = self.fetches = 0
        for number in range(size):
            self.after(self.rng.random() * HEARTBEAT_INTERVAL_S, self.heartbeat, number)
            self.after(self.rng.random() * TICK_INTERVAL_S, self.tick, number)

    def after(self, delay_s, action, *arguments):
        event = (self.now + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def send(self, action, *arguments):
        if self.rng.random() >= self.loss:
            self.after(PEER_ONE_WAY_S, action, *arguments)

    def change(self):
        """Make a change at one instance and return the delay at each other one."""
        changed_at = self.now
        revision = Revision(
            self.policies[0].current.revision + 1,
            "operator",
            "",
            0.0,
            (PutCustomer(Customer("academy", 1, 1)),),
        )
        self.apply_entries(0, (revision,))
        pending = set(range(1, len(self.policies)))
        delays = []
        while pending:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
            done = {
                n
                for n in pending
                if self.policies[n].current.revision == revision.number
            }
            delays += [self.now - changed_at] * len(done)
            pending -= done
        return delays

    def apply_entries(self, number, entries):
        policy = self.policies[number]
        if not [entry for entry in entries if policy.apply_revision(entry)]:
            return
        others = [n for n in range(len(self.policies)) if n != number]
        for peer in policy.choose_peers(others, NOTICE_FANOUT):
            self.notices += 1
            self.send(self.on_revision_report, peer, number, policy.current.revision)

    def on_revision_report(self, number, peer, revision):
        self.policies[number].update_from_peer(str(peer), revision, None, self.now)
        self.fetch(number)

    def fetch(self, number):
        policy = self.policies[number]
        peer = policy.choose_fetch_peer(self.now)
        if peer is None:
            return
        self.fetches += 1
        entries = self.policies[int(peer)].entries_after(policy.current.revision)
        # Connecting and requesting take two round trips.
        self.after(4 * PEER_ONE_WAY_S, self.apply_entries, number, entries)

    def tick(self, number):
        self.fetch(number)
        self.after(TICK_INTERVAL_S, self.tick, number)

    def heartbeat(self, number):
        peer = self.rng.randrange(len(self.policies))
        for receiver, sender in ((number, peer), (peer, number)):
            revision = self.policies[sender].current.revision
            self.send(self.on_revision_report, receiver, sender, revision)
        self.after(HEARTBEAT_INTERVAL_S, self.heartbeat, number)


def measure_spread(size: int, loss: float, seed: int) -> Spread:
    """Return how changes propagate in a fleet of a size."""
    simulation = _Propagation(size, loss, seed)
    delays = [simulation.change() for _ in range(CHANGE_COUNT)]
    times = [delay_s for change in delays for delay_s in change]
    return Spread(
        instances=size,
        loss=loss,
        median_s=round(statistics.median(times), 4),
        slowest_s=round(max(times), 4),
        notices_per_instance=round(simulation.notices / size / CHANGE_COUNT, 2),
        fetches_per_instance=round(simulation.fetches / size / CHANGE_COUNT, 2),
    )


def measure_document(customers: int) -> DocumentCost:
    """Return the cost of a configuration with a number of customers."""
    names = [f"customer-{number}" for number in range(customers)]
    keys = [issue_key(name) for name in names]
    changes = [PutCustomer(Customer(name, 1, 1, ("binder",))) for name in names]
    changes += [PutKey(key.entry) for key in keys]
    first = Revision(1, "", "", 0.0, tuple(changes))
    data = encode_configuration(apply_changes(EMPTY_CONFIGURATION, first))
    tracemalloc.start()
    configuration = decode_configuration(data)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    change = Revision(2, "", "", 0.0, (PutCustomer(Customer("new", 1, 1)),))
    return DocumentCost(
        customers=customers,
        snapshot_bytes=len(data),
        memory_bytes=memory_bytes,
        apply_ms=_best_ms(lambda: apply_changes(configuration, change)),
        encode_ms=_best_ms(lambda: encode_configuration(configuration)),
        decode_ms=_best_ms(lambda: decode_configuration(data)),
        key_check_us=_best_ms(lambda: find_customer(configuration, keys[0].text))
        * 1000,
    )


def _best_ms(action, runs=7):
    times = []
    for _ in range(runs):
        started_at = time.perf_counter()
        action()
        times.append(time.perf_counter() - started_at)
    return round(min(times) * 1000, 4)


def main(argv: Sequence[str] | None = None) -> None:
    """Measure, print and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    spreads = [
        measure_spread(size, loss, arguments.seed)
        for loss in (0.0, 0.1)
        for size in FLEET_SIZES
    ]
    costs = [measure_document(count) for count in CUSTOMERS]
    results = {
        "seed": arguments.seed,
        "limit_s": MAX_PROPAGATION_S,
        "spreads": [asdict(spread) for spread in spreads],
        "documents": [asdict(cost) for cost in costs],
    }
    folder = pathlib.Path("bench-results")
    folder.mkdir(exist_ok=True)
    (folder / "configuration.json").write_text(json.dumps(results, indent=2))
    for line in (*spreads, *costs):
        print(json.dumps(asdict(line)))


if __name__ == "__main__":
    main()
