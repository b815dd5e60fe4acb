"""Instances that place requests on fake engines without asking each other."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bench.model._engine import BLOCK_TOKENS, EngineFigures, FakeEngine, Job
from bench.model._schedule import Schedule
from bench.workloads import Arrival
from cassiaford.engines import CacheEvents
from cassiaford.fleet import MIN_REPORTED_TOKENS
from cassiaford.policy import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    RequestQueue,
    ServerView,
    Ticket,
    create_fair_queue,
)

PRIORITIES = {"interactive": 0, "standard": 1, "batch": 2}


@dataclass(frozen=True)
class FleetFigures:
    """The figures of what lies between instances and engines.

    Each instance polls each engine's load and cache events once in
    `poll_interval_s`; what it gets is `load_lag_s` and `events_lag_s` old. A
    batch of events loses its first half with the probability `event_loss`.
    `network_s` is the way from the caller to the engine and back. A prompt of
    which at least `told_tokens` are to be computed is told to the other
    instances, which hear of it `told_lag_s` later; none is with 0.
    """

    poll_interval_s: float = 0.5
    load_lag_s: float = 0.3
    events_lag_s: float = 0.8
    event_loss: float = 0.05
    network_s: float = 0.009
    told_tokens: int = MIN_REPORTED_TOKENS
    told_lag_s: float = 0.005
    deadline_s: float = 30.0


@dataclass
class RequestRecord:
    """What became of one request; times are in virtual seconds."""

    arrival: Arrival
    request: PlacementRequest
    first_token_at: float | None = None
    finished_at: float | None = None
    refused: bool = False
    attempts: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    excluded: frozenset[str] = frozenset()


@dataclass
class FakeInstance:
    """One instance: its policy, its queue, and what it knows for certain."""

    index: int
    policy: PlacementPolicy
    rng: random.Random
    queue: object
    in_flight: dict[str, int] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    sequences: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)
    starts: int = 0


class Fleet:
    """Engines and instances in virtual time; keeps a record of each request."""

    def __init__(
        self,
        engines: int,
        instances: int,
        engine_figures: EngineFigures,
        figures: FleetFigures,
        make_policy: Callable[["Fleet"], PlacementPolicy],
        seed: int,
        make_queue: Callable[[], RequestQueue] = create_fair_queue,
    ):
        self.make_queue = make_queue
        self.schedule = Schedule()
        self.figures = figures
        self.make_policy = make_policy
        self.rng = random.Random(seed)
        self.engines = {
            name: FakeEngine(name, engine_figures, self.schedule)
            for name in (f"engine-{number + 1}" for number in range(engines))
        }
        self.records = {}
        self.computed_blocks = set()
        self.instances = [self._instance(index) for index in range(instances)]
        for instance in self.instances:
            for name in self.engines:
                offset = self.rng.random() * figures.poll_interval_s
                self.schedule.after(offset, self._poll, instance, name)

    def run(self, arrivals: Iterable[Arrival], until: float) -> None:
        """Serve the arrivals and go on until a time."""
        for number, arrival in enumerate(arrivals):
            self.schedule.at(arrival.time, self._arrive, f"r{number}", arrival)
        self.schedule.run(until)

    def crash_engine(self, name: str, down_s: float) -> None:
        """Crash an engine; it comes back empty after a time."""
        self.engines[name].crash()
        self.schedule.after(down_s, self.engines[name].start)

    def restart_instances(self) -> None:
        """Have every instance lose its state; running requests go on."""
        for index, instance in enumerate(self.instances):
            self._requeue_elsewhere(instance)
            self.instances[index] = self._instance(index)
            for name in self.engines:
                offset = self.rng.random() * self.figures.poll_interval_s
                self.schedule.after(offset, self._poll, self.instances[index], name)

    def _instance(self, index):
        return FakeInstance(
            index,
            self.make_policy(self),
            random.Random(self.rng.random()),
            self.make_queue(),
        )

    def _requeue_elsewhere(self, instance):
        # Requests that wait in the queue of a restarted instance come again.
        while (ticket := instance.queue.take(self.schedule.now, _any)) is not None:
            record = self.records[ticket.request_id]
            self.schedule.after(self.figures.network_s, self._offer_again, record)

    def _offer_again(self, record):
        self._offer(self.instances[record.arrival.instance], record)

    def _arrive(self, request_id, arrival):
        request = PlacementRequest(
            request_id, arrival.prompt_tokens, arrival.output_tokens, arrival.chain
        )
        record = RequestRecord(arrival, request)
        self.records[request_id] = record
        self._offer(self.instances[arrival.instance], record)

    def _offer(self, instance, record):
        arrival, request = record.arrival, record.request
        now = self.schedule.now
        ticket = Ticket(
            request.request_id,
            arrival.customer,
            arrival.service_class,
            request.prompt_tokens + request.max_output,
            arrival.time + self.figures.deadline_s,
        )
        if instance.queue.offer(ticket, now) is not None:
            record.refused = True
            return
        self._dispatch(instance)

    def _dispatch(self, instance):
        now = self.schedule.now
        for ticket in instance.queue.expire(now):
            self.records[ticket.request_id].refused = True
        chosen = {}

        def may_dispatch(ticket):
            record = self.records[ticket.request_id]
            views = [self._view(instance, name) for name in self.engines]
            request = record.request
            placement = instance.policy.place(request, views, now, instance.rng)
            chosen[ticket.request_id] = placement
            return placement is not None

        while (ticket := instance.queue.take(now, may_dispatch)) is not None:
            record = self.records[ticket.request_id]
            self._send(instance, record, chosen[ticket.request_id])

    def _view(self, instance, name):
        return ServerView(
            name,
            self.engines[name].figures.slots,
            instance.in_flight.get(name, 0),
            name in instance.suspected,
        )

    def _send(self, instance, record, placement: Placement):
        request, name = record.request, placement.server
        now = self.schedule.now
        record.attempts += 1
        job = Job(
            request,
            PRIORITIES[record.arrival.service_class],
            request.max_output,
            lambda job: self._first_token(instance, record, job),
            lambda job, complete: self._end(instance, record, name, complete),
        )
        instance.policy.record_start(placement, request, now)
        self._tell_peers(
            instance, name, request.prompt_tokens - placement.cached_tokens
        )
        instance.in_flight[name] = instance.in_flight.get(name, 0) + 1
        if not self.engines[name].submit(job):
            self._end(instance, record, name, False)

    def _tell_peers(self, instance, name, tokens):
        figures = self.figures
        if not 0 < figures.told_tokens <= tokens:
            return
        for peer in self.instances:
            if peer is not instance:
                self.schedule.after(figures.told_lag_s, self._hear, peer, name, tokens)

    def _hear(self, peer, name, tokens):
        peer.policy.record_peer_start(name, tokens, self.schedule.now)

    def _first_token(self, instance, record, job):
        now = self.schedule.now
        request = record.request
        if record.first_token_at is None:
            record.first_token_at = now + self.figures.network_s
        record.prompt_tokens += request.prompt_tokens
        record.cached_tokens += job.cached_tokens
        computed = request.chain[job.cached_tokens // BLOCK_TOKENS :]
        known = sum(block in self.computed_blocks for block in computed)
        record.wasted_tokens += known * BLOCK_TOKENS
        self.computed_blocks.update(computed)
        instance.policy.record_first_token(request.request_id, now)

    def _end(self, instance, record, name, complete):
        now = self.schedule.now
        instance.in_flight[name] -= 1
        instance.policy.record_end(record.request.request_id, now)
        if complete:
            record.finished_at = now
        else:
            instance.suspected.add(name)
            current = self.instances[instance.index]
            self.schedule.after(self.figures.network_s, self._offer, current, record)
        self.schedule.after(0.0, self._dispatch, instance)

    def _poll(self, instance, name):
        if self.instances[instance.index] is not instance:
            return
        engine = self.engines[name]
        if engine.up:
            figures = self.figures
            load, events = engine.report(), self._events(instance, engine)
            self.schedule.after(
                figures.load_lag_s, self._take_load, instance, name, load
            )
            self.schedule.after(
                figures.events_lag_s, self._take_events, instance, name, events
            )
        else:
            instance.suspected.add(name)
        self.schedule.after(self.figures.poll_interval_s, self._poll, instance, name)

    def _events(self, instance, engine):
        if instance.incarnations.get(engine.name) != engine.incarnation:
            instance.incarnations[engine.name] = engine.incarnation
            instance.sequences[engine.name] = 0
        batch = engine.events_after(instance.sequences[engine.name])
        instance.sequences[engine.name] = batch.next_sequence - 1
        if self.rng.random() >= self.figures.event_loss:
            return batch
        kept = batch.events[len(batch.events) // 2 :]
        return CacheEvents(batch.incarnation, kept, batch.next_sequence, True)

    def _take_load(self, instance, name, load):
        if self.engines[name].up:
            instance.suspected.discard(name)
        instance.policy.observe_load(name, load, self.schedule.now)
        self._dispatch(instance)

    def _take_events(self, instance, name, events):
        instance.policy.observe_events(name, events, self.schedule.now)


def _any(ticket):
    return True
