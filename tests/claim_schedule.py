"""A seeded schedule of claims with lost and late calls and crashes."""

import random
from dataclasses import dataclass, field

from cassiaford.policy import (
    Claim,
    ClaimRecord,
    ReadSegment,
    ReadShard,
    RecordedOutcome,
    ShardClaims,
    ShardState,
    WriteSegment,
    WriteShard,
    ended_record,
)
from cassiaford.verdict import Refusal, RefusalReason, Verdict

STEPS = 250
KEYS = ("1" * 32, "2" * 32, "f" * 32)
INSTANCES = ("entry-1", "entry-2", "entry-3")


@dataclass
class Call:
    """A call in progress; `result` is set once the service has performed it."""

    step: object
    result: tuple | None = None


@dataclass
class Instance:
    """One instance's shard claims, its call in progress, and its granted claims."""

    claims: ShardClaims
    incarnation: int
    call: Call | None = None
    granted: list = field(default_factory=list)
    started: list = field(default_factory=list)


class Schedule:
    """Several instances that share one shard, with events in a seeded order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = ShardState()
        self.segments = {}
        self.version = 0
        self.late_calls = []
        self.nonces = 0
        self.grants = 0
        self.keys = {}
        self.origins = {}
        self.forwarded = {}
        self.now = 0.0
        self.started = dict.fromkeys(KEYS, 0)
        self.finished = set()
        self.keys_with_lost_claims = set()
        self.instances = {name: self.new_instance(name, 1) for name in INSTANCES}

    def new_instance(self, name, incarnation):
        # The threshold is so low that each ended claim is sealed at once.
        claims = ShardClaims("00", name, incarnation, seal_bytes=100)
        return Instance(claims, incarnation)

    def run(self):
        actions = (
            [self.submit] * 4
            + [self.begin_call] * 8
            + [self.perform] * 8
            + [self.receive_response] * 8
            + [self.lose_response] * 2
            + [self.perform_late] * 2
            + [self.fail_call, self.abandon, self.crash]
            + [self.forward] * 3
            + [self.fall_back] * 2
            + [self.start] * 3
            + [self.end] * 3
        )
        for _ in range(STEPS):
            self.now += 0.001
            name = self.rng.choice(INSTANCES)
            self.rng.choice(actions)(name, self.instances[name])

    def submit(self, name, instance, key=None):
        record = self.new_record(name, instance, key)
        resolved = instance.claims.submit(record, self.now)
        if resolved is not None:
            self.receive_answers(instance, [resolved])

    def forward(self, name, instance):
        """Claim through another instance, whose reply may be lost."""
        record = self.new_record(name, instance)
        self.forwarded[record.nonce] = (instance, record)
        writer = self.instances[self.rng.choice(INSTANCES)]
        if writer is not instance:
            for _ in range(self.rng.choice([1, 1, 2])):
                resolved = writer.claims.submit(record, self.now)
                if resolved is not None:
                    self.receive_answers(writer, [resolved])

    def fall_back(self, name, instance):
        """Claim directly after a forwarded claim, whose reply then arrives late."""
        own_nonces = [n for n, (by, _) in self.forwarded.items() if by is instance]
        if own_nonces:
            _, record = self.forwarded.pop(own_nonces[0])
            resolved = instance.claims.submit(record, self.now, forwarded=True)
            if resolved is not None:
                self.receive_answers(instance, [resolved])

    def new_record(self, name, instance, key=None):
        self.nonces += 1
        record = ClaimRecord(
            key=key or self.rng.choice(KEYS),
            fingerprint="f",
            nonce=f"n{self.nonces}",
            request_id=f"r{self.nonces}",
            instance=name,
            incarnation=instance.incarnation,
            written_at=self.now,
        )
        self.keys[record.nonce] = record.key
        self.origins[record.nonce] = instance
        return record

    def begin_call(self, name, instance):
        if instance.call is None:
            step = instance.claims.next_step(self.now)
            if step is not None:
                instance.call = Call(step)

    def perform(self, name, instance):
        if instance.call is not None:
            self.perform_call(instance.call)

    def perform_call(self, call):
        if call.result is not None:
            return
        match call.step:
            case WriteSegment(name=name, records=records):
                self.segments[name] = records
                call.result = ()
            case ReadSegment(name=name):
                call.result = (name, self.segments[name])
            case WriteShard(state=state, version=version):
                swapped = version == self.version
                if swapped:
                    self.state = state
                    self.version += 1
                call.result = (swapped, self.state, self.version)
            case ReadShard():
                call.result = (False, self.state, self.version)

    def receive_response(self, name, instance):
        if instance.call is None or instance.call.result is None:
            return
        call, instance.call = instance.call, None
        claims = instance.claims
        if isinstance(call.step, WriteSegment):
            claims.on_segment_written()
        elif isinstance(call.step, ReadSegment):
            self.receive_answers(instance, claims.on_segment_read(*call.result))
        else:
            swapped, state, version = call.result
            if swapped:
                self.receive_answers(instance, claims.on_shard_written(version))
            else:
                self.receive_answers(
                    instance, claims.on_shard_read(state, version, self.now)
                )

    def lose_response(self, name, instance):
        """Lose a response; a call not yet performed may still take effect."""
        call = instance.call
        if call is None or isinstance(call.step, ReadShard | ReadSegment):
            return
        if call.result is None:
            self.late_calls.append(call)
        instance.call = None
        instance.claims.on_unknown_outcome()

    def perform_late(self, name, instance):
        if self.late_calls:
            self.perform_call(self.late_calls.pop(0))

    def fail_call(self, name, instance):
        if instance.call is not None and instance.call.result is None:
            instance.call = None
            instance.claims.on_not_written()
            self.receive_answers(instance, instance.claims.refuse_all(1.0))

    def abandon(self, name, instance):
        if instance.claims.pending:
            instance.claims.abandon(next(iter(instance.claims.pending)))

    def crash(self, name, instance):
        if self.rng.random() < 0.8:
            return
        if instance.call is not None and instance.call.result is None:
            self.late_calls.append(instance.call)
        self.keys_with_lost_claims.update(KEYS)
        self.instances[name] = self.new_instance(name, instance.incarnation + 1)

    def start(self, name, instance):
        if instance.granted:
            claim = instance.granted.pop(0)
            self.started[claim.record.key] += 1
            instance.started.append(claim)

    def end(self, name, instance):
        if instance.started:
            claim = instance.started.pop(0)
            has_run = self.rng.random() < 0.5
            if has_run:
                self.finished.add(claim.record.key)
            self.record(
                instance, claim, Verdict.RAN if has_run else Verdict.MAY_HAVE_RUN
            )
        elif instance.granted:
            self.record(instance, instance.granted.pop(0), Verdict.NOT_RUN)

    def record(self, instance, claim, verdict):
        record = ended_record(claim, verdict, 200, "text/plain", b"done", self.now)
        instance.claims.record_outcome(record)

    def receive_answers(self, instance, resolved):
        for item in resolved:
            answer = item.answer
            origin = self.origins[item.nonce]
            elsewhere = origin is not instance
            if elsewhere and not self.receive_forwarded_reply(origin, item):
                continue
            if isinstance(answer, Claim):
                origin.granted.append(answer)
                self.grants += 1
            elif isinstance(answer, RecordedOutcome):
                assert answer.body == b"done"
                assert self.keys[item.nonce] in self.finished
            elif answer.reason is not RefusalReason.CLAIMS_UNAVAILABLE:
                assert answer.verdict is Verdict.MAY_HAVE_RUN, answer

    def receive_forwarded_reply(self, origin, item):
        """Return whether the reply to a forwarded claim arrived and was awaited."""
        if origin not in self.instances.values():
            return False
        if self.rng.random() < 0.2:
            self.keys_with_lost_claims.add(self.keys[item.nonce])
            return False
        _, record = self.forwarded.pop(item.nonce, (None, None))
        if record is None:
            if isinstance(item.answer, Claim):
                origin.claims.reject_ownership(item.nonce)
            return False
        if self.is_unavailable(item.answer):
            origin.claims.release(record)
        return True

    def is_unavailable(self, answer):
        unclaimed = RefusalReason.CLAIMS_UNAVAILABLE
        return isinstance(answer, Refusal) and answer.reason is unclaimed

    def run_to_completion(self):
        """Let every call succeed until no claim or outcome is pending."""
        for _ in range(200):
            self.now += 0.001
            for name, instance in self.instances.items():
                self.fall_back(name, instance)
                self.begin_call(name, instance)
                self.perform(name, instance)
                self.receive_response(name, instance)
                while instance.granted:
                    self.record(instance, instance.granted.pop(), Verdict.NOT_RUN)
                while instance.started:
                    claim = instance.started.pop()
                    self.finished.add(claim.record.key)
                    self.record(instance, claim, Verdict.RAN)
