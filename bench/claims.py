"""Calls to the key-value service for each claim, simulated in virtual time.

Seven instances claim for five customers of unequal size. A call to the
key-value service takes two milliseconds each way, a message between instances
one and a half. Four variants are compared: each instance writes its own claims
with callers spread evenly, the same with four of five callers steered to two
instances of each customer, claims forwarded to one instance for each shard,
and forwarded claims of fifty equal customers. Run as
``python -m bench.claims --seed 1``.
"""

import argparse
import hashlib
import heapq
import json
import pathlib
import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field

from cassiaford.fleet import shard_of
from cassiaford.policy import (
    CLAIM_BATCH_WINDOW_S,
    OUTCOME_BATCH_WINDOW_S,
    Claim,
    ClaimRecord,
    ReadSegment,
    ReadShard,
    ShardClaims,
    ShardState,
    WriteSegment,
    WriteShard,
    conflict_delay,
    ended_record,
)
from cassiaford.verdict import Verdict

INSTANCES = 7
CUSTOMER_WEIGHTS = (50, 20, 15, 10, 5)
EQUAL_CUSTOMER_WEIGHTS = (1,) * 50
STEERED_FRACTION = 0.8
STEERED_INSTANCES = 2
CALL_ONE_WAY_S = 0.002
PEER_ONE_WAY_S = 0.0015
MEAN_WORK_S = 0.5
CLAIM_RATES = (10, 100, 1000)
ARRIVAL_SPAN_S = 8.0
RESULTS = pathlib.Path("bench-results")


@dataclass(frozen=True)
class Result:
    """Calls and claim delays of one variant at one rate."""

    way: str
    claims_per_s: int
    writes_per_s: float
    writes_per_claim: float
    conflicts_per_claim: float
    reads_per_claim: float
    delay_p50_ms: float
    delay_p99_ms: float
    refused: int


@dataclass
class KeyValueService:
    """Simulated key-value service: versioned state and segments of each shard."""

    shards: dict = field(default_factory=dict)
    segments: dict = field(default_factory=dict)
    reads: int = 0
    writes: int = 0
    conflicts: int = 0

    def perform(self, shard, step):
        """Perform a call and return the service's response."""
        match step:
            case ReadSegment(name=name):
                self.reads += 1
                return name, self.segments[name]
            case WriteSegment(name=name, records=records):
                # Creating the segment's lease is a call as well.
                self.writes += 2
                self.segments[name] = records
                return ()
        state, version = self.shards.get(shard, (ShardState(), 0))
        if isinstance(step, ReadShard):
            self.reads += 1
            return False, state, version
        self.writes += 1
        if step.version != version:
            self.conflicts += 1
            return False, state, version
        self.shards[shard] = (step.state, version + 1)
        return True, step.state, version + 1


class ShardWorker:
    """Simulated thread that writes one shard's claims in one instance.

    `open_window` is the number of the open batch window, 0 if none is open.
    """

    def __init__(self, simulation, shard, name):
        self.simulation = simulation
        self.shard = shard
        self.shard_claims = ShardClaims(shard, name, 1)
        self.busy = False
        self.open_window = 0
        self.urgent = False
        self.conflicts = 0

    def wake(self):
        """Open a batch window if there are claims or outcomes to write."""
        urgent = bool(self.shard_claims.pending)
        if self.busy or not (urgent or self.shard_claims.changes):
            return
        if self.open_window and not (urgent and not self.urgent):
            return
        self.open_window += 1
        self.urgent = urgent
        delay = CLAIM_BATCH_WINDOW_S if urgent else OUTCOME_BATCH_WINDOW_S
        window = self.open_window
        self.simulation.after(delay, lambda: self.end_window(window))

    def end_window(self, window):
        """Make the next call, unless a shorter window has replaced this one."""
        if window == self.open_window and not self.busy:
            self.make_next_call()

    def make_next_call(self):
        """Make the next call, if there is one to make."""
        self.open_window = 0
        self.urgent = False
        step = self.shard_claims.next_step(self.simulation.now)
        self.busy = step is not None
        if step is not None:
            self.simulation.after(CALL_ONE_WAY_S, lambda: self.perform(step))

    def perform(self, step):
        """Perform a call at the service and schedule its response."""
        result = self.simulation.service.perform(self.shard, step)
        self.simulation.after(CALL_ONE_WAY_S, lambda: self.on_response(step, result))

    def on_response(self, step, result):
        """Process the service's response."""
        has_conflict = isinstance(step, WriteShard) and not result[0]
        self.simulation.record_resolved(self, self.apply_result(step, result))
        self.conflicts = self.conflicts + 1 if has_conflict else 0
        if has_conflict:
            delay = conflict_delay(self.conflicts, self.simulation.rng)
            self.simulation.after(delay, self.make_next_call)
        elif isinstance(step, WriteShard):
            self.busy = False
            self.wake()
        else:
            self.make_next_call()

    def apply_result(self, step, result):
        """Apply the result of a call; return the claims that it resolved."""
        if isinstance(step, WriteSegment):
            self.shard_claims.on_segment_written()
            return ()
        if isinstance(step, ReadSegment):
            return self.shard_claims.on_segment_read(*result)
        swapped, state, version = result
        if swapped:
            return self.shard_claims.on_shard_written(version)
        return self.shard_claims.on_shard_read(state, version, self.simulation.now)


class Simulation:
    """One run of a variant at one rate."""

    def __init__(self, variant, rate, seed):
        self.variant = variant
        self.forwarded = variant.startswith("forwarded")
        self.rate = rate
        self.rng = random.Random(f"{seed}/{variant}/{rate}")
        self.now = 0.0
        self.events = []
        self.sequence = 0
        self.service = KeyValueService()
        self.workers = {}
        self.arrival_times = {}
        self.delays = []
        self.refused = 0

    def after(self, delay, action):
        """Schedule an action after a delay in seconds."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, action))

    def run(self):
        """Run until no event is left and return the result."""
        self.after(self.rng.expovariate(self.rate), self.arrive)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.result()

    def arrive(self):
        """Process the arrival of a claim and schedule the next one."""
        if self.now > ARRIVAL_SPAN_S:
            return
        self.after(self.rng.expovariate(self.rate), self.arrive)
        weights = EQUAL_CUSTOMER_WEIGHTS if "50" in self.variant else CUSTOMER_WEIGHTS
        customer_number = self.rng.choices(range(len(weights)), weights)[0]
        customer = f"customer-{customer_number}"
        name = self.instance_for(customer_number)
        nonce = f"{self.rng.getrandbits(64):016x}"
        key = hashlib.sha256(nonce.encode()).hexdigest()[:32]
        record = ClaimRecord(key, "f", nonce, nonce, name, 1, self.now)
        self.arrival_times[nonce] = self.now
        worker = self.worker(shard_of(customer), name)
        hop = PEER_ONE_WAY_S if self.forwarded else 0.0
        self.after(hop, lambda: self.submit(worker, record))

    def instance_for(self, customer_number):
        """Return the instance that writes a claim of a customer."""
        steered = self.variant == "steered" and self.rng.random() < STEERED_FRACTION
        if self.forwarded:
            shard = int(shard_of(f"customer-{customer_number}"), 16)
            return f"entry-{shard % INSTANCES}"
        if steered:
            customer_number += self.rng.randrange(STEERED_INSTANCES)
            return f"entry-{customer_number % INSTANCES}"
        return f"entry-{self.rng.randrange(INSTANCES)}"

    def worker(self, shard, name):
        """Return the worker of a shard in an instance."""
        key = (shard, name)
        if key not in self.workers:
            self.workers[key] = ShardWorker(self, shard, name)
        return self.workers[key]

    def submit(self, worker, record):
        """Submit a claim to a worker."""
        worker.shard_claims.submit(record, self.now)
        worker.wake()

    def record_resolved(self, worker, resolved):
        """Record the delays of claims and schedule the end of their work."""
        for item in resolved:
            if not isinstance(item.answer, Claim):
                self.refused += 1
            else:
                hop = PEER_ONE_WAY_S if self.forwarded else 0.0
                self.delays.append(self.now + hop - self.arrival_times.pop(item.nonce))
                duration = self.rng.expovariate(1.0 / MEAN_WORK_S)
                self.after(duration, lambda c=item.answer: self.end_work(worker, c))

    def end_work(self, worker, claim):
        """Record the outcome of a claim's work."""
        record = ended_record(claim, Verdict.RAN, 201, "", b"", self.now)
        worker.shard_claims.record_outcome(record)
        worker.wake()

    def result(self):
        """Return the measurements of the run."""
        delays = sorted(self.delays)
        claims = len(delays)
        service = self.service
        return Result(
            way=self.variant,
            claims_per_s=self.rate,
            writes_per_s=round(service.writes / ARRIVAL_SPAN_S, 1),
            writes_per_claim=round(service.writes / claims, 3),
            conflicts_per_claim=round(service.conflicts / claims, 3),
            reads_per_claim=round(service.reads / claims, 3),
            delay_p50_ms=round(delays[claims // 2] * 1000, 1),
            delay_p99_ms=round(delays[claims * 99 // 100] * 1000, 1),
            refused=self.refused,
        )


def run(seed: int) -> list[Result]:
    """Return the results of every variant at every rate."""
    variants = ("spread", "steered", "forwarded", "forwarded, 50 customers")
    return [
        Simulation(variant, rate, seed).run()
        for variant in variants
        for rate in CLAIM_RATES
    ]


def main(argv: Sequence[str] | None = None) -> None:
    """Print the results as a table and write them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    results = run(parser.parse_args(argv).seed)
    names = list(asdict(results[0]))
    print(" | ".join(names))
    for result in results:
        print(" | ".join(str(value) for value in asdict(result).values()))
    RESULTS.mkdir(exist_ok=True)
    rows = [asdict(result) for result in results]
    (RESULTS / "claims.json").write_text(json.dumps(rows, indent=1), "utf-8")


if __name__ == "__main__":
    main()
