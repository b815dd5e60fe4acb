"""Key-value calls for each claim, in virtual time.

Seven instances claim for five customers of unequal size. A call to the
key-value service takes two milliseconds each way, a message between instances
one and a half. Ways are compared: each instance writes for itself with
callers spread evenly, the same with four of five callers steered to two
instances of each customer, and claims forwarded to one instance for each
shard, the last also for fifty equal customers. Run as
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
MANY_CUSTOMERS = (1,) * 50
STEERED_SHARE = 0.8
STEERED_INSTANCES = 2
CALL_ONE_WAY_S = 0.002
PEER_ONE_WAY_S = 0.0015
RUN_S = 0.5
RATES = (10, 100, 1000)
SPAN_S = 8.0
RESULTS = pathlib.Path("bench-results")


@dataclass(frozen=True)
class Result:
    """The calls and the delay of claims at one rate, in one way."""

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
class Service:
    """The key-value service: a version and the records of each shard."""

    shards: dict = field(default_factory=dict)
    segments: dict = field(default_factory=dict)
    reads: int = 0
    writes: int = 0
    conflicts: int = 0

    def perform(self, shard, step):
        """Perform a call; return what the service answers."""
        match step:
            case ReadSegment(name=name):
                self.reads += 1
                return name, self.segments[name]
            case WriteSegment(name=name, records=records):
                # The lease of the segment costs a call as well.
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


class Worker:
    """What the thread of one shard in one instance does, in virtual time."""

    def __init__(self, simulation, shard, name):
        self.simulation = simulation
        self.shard = shard
        self.book = ShardClaims(shard, name, 1)
        self.busy = False
        self.waiting = 0
        self.urgent = False
        self.conflicts = 0

    def wake(self):
        """Begin the window in which claims and outcomes gather."""
        urgent = bool(self.book.pending)
        if self.busy or not (urgent or self.book.changes):
            return
        if self.waiting and not (urgent and not self.urgent):
            return
        self.waiting += 1
        self.urgent = urgent
        delay = CLAIM_BATCH_WINDOW_S if urgent else OUTCOME_BATCH_WINDOW_S
        window = self.waiting
        self.simulation.after(delay, lambda: self.end_window(window))

    def end_window(self, window):
        """Begin the call, unless a shorter window came before it."""
        if window == self.waiting and not self.busy:
            self.begin()

    def begin(self):
        """Make the next call, if there is anything to do."""
        self.waiting = 0
        self.urgent = False
        step = self.book.next_step(self.simulation.now)
        self.busy = step is not None
        if step is not None:
            self.simulation.after(CALL_ONE_WAY_S, lambda: self.perform(step))

    def perform(self, step):
        """Have the service perform a call."""
        result = self.simulation.service.perform(self.shard, step)
        self.simulation.after(CALL_ONE_WAY_S, lambda: self.answer(step, result))

    def answer(self, step, result):
        """Take in the service's answer."""
        lost = isinstance(step, WriteShard) and not result[0]
        self.simulation.settle(self, self.report(step, result))
        self.conflicts = self.conflicts + 1 if lost else 0
        if lost:
            delay = conflict_delay(self.conflicts, self.simulation.rng)
            self.simulation.after(delay, self.begin)
        elif isinstance(step, WriteShard):
            self.busy = False
            self.wake()
        else:
            self.begin()

    def report(self, step, result):
        """Tell the book what came of a call; return the claims it settled."""
        if isinstance(step, WriteSegment):
            self.book.on_segment_written()
            return ()
        if isinstance(step, ReadSegment):
            return self.book.on_segment_read(*result)
        swapped, state, version = result
        if swapped:
            return self.book.on_shard_written(version)
        return self.book.on_shard_read(state, version, self.simulation.now)


class Simulation:
    """One run at one rate, in one way."""

    def __init__(self, way, rate, seed):
        self.way = way
        self.forwarded = way.startswith("forwarded")
        self.rate = rate
        self.rng = random.Random(f"{seed}/{way}/{rate}")
        self.now = 0.0
        self.events = []
        self.sequence = 0
        self.service = Service()
        self.workers = {}
        self.arrived = {}
        self.delays = []
        self.refused = 0

    def after(self, delay, action):
        """Do something after a delay in seconds."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, action))

    def run(self):
        """Run until nothing is left to do; return the result."""
        self.after(self.rng.expovariate(self.rate), self.arrive)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.result()

    def arrive(self):
        """Let a claim arrive, and the next one after it."""
        if self.now > SPAN_S:
            return
        self.after(self.rng.expovariate(self.rate), self.arrive)
        weights = MANY_CUSTOMERS if "50" in self.way else CUSTOMER_WEIGHTS
        number = self.rng.choices(range(len(weights)), weights)[0]
        customer = f"customer-{number}"
        name = self.instance_for(number)
        nonce = f"{self.rng.getrandbits(64):016x}"
        key = hashlib.sha256(nonce.encode()).hexdigest()[:32]
        record = ClaimRecord(key, "f", nonce, nonce, name, 1, self.now)
        self.arrived[nonce] = self.now
        worker = self.worker(shard_of(customer), name)
        hop = PEER_ONE_WAY_S if self.forwarded else 0.0
        self.after(hop, lambda: self.submit(worker, record))

    def instance_for(self, number):
        """Return the instance that writes for an arrival."""
        steered = self.way == "steered" and self.rng.random() < STEERED_SHARE
        if self.forwarded:
            shard = int(shard_of(f"customer-{number}"), 16)
            return f"entry-{shard % INSTANCES}"
        if steered:
            number += self.rng.randrange(STEERED_INSTANCES)
            return f"entry-{number % INSTANCES}"
        return f"entry-{self.rng.randrange(INSTANCES)}"

    def worker(self, shard, name):
        """Return the thread of a shard in an instance."""
        key = (shard, name)
        if key not in self.workers:
            self.workers[key] = Worker(self, shard, name)
        return self.workers[key]

    def submit(self, worker, record):
        """Hand a claim to a thread."""
        worker.book.submit(record, self.now)
        worker.wake()

    def settle(self, worker, settled):
        """Note how long claims took; end their work later."""
        for item in settled:
            if not isinstance(item.answer, Claim):
                self.refused += 1
            else:
                hop = PEER_ONE_WAY_S if self.forwarded else 0.0
                self.delays.append(self.now + hop - self.arrived.pop(item.nonce))
                duration = self.rng.expovariate(1.0 / RUN_S)
                self.after(duration, lambda c=item.answer: self.end(worker, c))

    def end(self, worker, claim):
        """End the work of a claim."""
        record = ended_record(claim, Verdict.RAN, 201, "", b"", self.now)
        worker.book.record_outcome(record)
        worker.wake()

    def result(self):
        """Return the figures of the run."""
        delays = sorted(self.delays)
        claims = len(delays)
        service = self.service
        return Result(
            way=self.way,
            claims_per_s=self.rate,
            writes_per_s=round(service.writes / SPAN_S, 1),
            writes_per_claim=round(service.writes / claims, 3),
            conflicts_per_claim=round(service.conflicts / claims, 3),
            reads_per_claim=round(service.reads / claims, 3),
            delay_p50_ms=round(delays[claims // 2] * 1000, 1),
            delay_p99_ms=round(delays[claims * 99 // 100] * 1000, 1),
            refused=self.refused,
        )


def run(seed: int) -> list[Result]:
    """Return the results of every way at every rate."""
    ways = ("spread", "steered", "forwarded", "forwarded, 50 customers")
    return [Simulation(way, rate, seed).run() for way in ways for rate in RATES]


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
