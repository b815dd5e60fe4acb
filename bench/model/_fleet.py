"""Simulated instances that place requests on engines independently of each other."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bench.model._engine import BLOCK_TOKENS, EngineParameters, FakeEngine, Job
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
class FleetParameters:
    """Delays and losses between callers, instances and engines.

    Each instance polls the load and the cache events of each engine once per
    `poll_interval_s` and applies them `load_lag_s` and `events_lag_s` later. A
    batch of events loses its first half with the probability `event_loss`.
    `network_s` is the round trip from the caller to the engine. An instance reports
    a prompt that needs prefill of at least `min_reported_tokens` to the others, which
    receive the report `peer_report_lag_s` later; with 0 it reports none. A request
    waits in the queue of an instance until `deadline_s` after its arrival.
    """

    poll_interval_s: float = 0.5
    load_lag_s: float = 0.3
    events_lag_s: float = 0.8
    event_loss: float = 0.05
    network_s: float = 0.009
    min_reported_tokens: int = MIN_REPORTED_TOKENS
    peer_report_lag_s: float = 0.005
    deadline_s: float = 30.0


@dataclass
class RequestRecord:
    """The outcome of one request, over all attempts; times are in virtual seconds.

    `wasted_tokens` counts prefill of blocks that some engine had computed before.
    """

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
    """The state of one simulated instance.

    `in_flight` counts its own requests by engine, and `suspected` holds the engines
    that failed a request or a poll. `last_sequences` has the number of the last cache
    event read from each engine, and `incarnations` the incarnation that sent it.
    """

    index: int
    policy: PlacementPolicy
    rng: random.Random
    queue: object
    in_flight: dict[str, int] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    last_sequences: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)
    starts: int = 0


class Fleet:
    """Simulated engines and instances, with a record of each request."""

    def __init__(
        self,
        engines: int,
        instances: int,
        engine_parameters: EngineParameters,
        parameters: FleetParameters,
        create_policy: Callable[["Fleet"], PlacementPolicy],
        seed: int,
        create_queue: Callable[[], RequestQueue] = create_fair_queue,
    ):
        self.create_queue = create_queue
        self.schedule = Schedule()
        self.parameters = parameters
        self.create_policy = create_policy
        self.rng = random.Random(seed)
        self.engines = {
            name: FakeEngine(name, engine_parameters, self.schedule)
            for name in (f"engine-{number + 1}" for number in range(engines))
        }
        self.records = {}
        self.computed_blocks = set()
        self.instances = [self._create_instance(index) for index in range(instances)]
        for instance in self.instances:
            for name in self.engines:
                offset = self.rng.random() * parameters.poll_interval_s
                self.schedule.after(offset, self._poll, instance, name)

    def run(self, arrivals: Iterable[Arrival], until: float) -> None:
        """Serve the arrivals and run until a virtual time."""
        for number, arrival in enumerate(arrivals):
            self.schedule.at(arrival.time, self._arrive, f"r{number}", arrival)
        self.schedule.run(until)

    def crash_engine(self, name: str, down_s: float) -> None:
        """Crash an engine and start it `down_s` later with an empty cache."""
        self.engines[name].crash()
        self.schedule.after(down_s, self.engines[name].start)

    def restart_instances(self) -> None:
        """Restart every instance without its state; running requests continue."""
        for index, instance in enumerate(self.instances):
            self._retry_queued(instance)
            self.instances[index] = self._create_instance(index)
            for name in self.engines:
                offset = self.rng.random() * self.parameters.poll_interval_s
                self.schedule.after(offset, self._poll, self.instances[index], name)

    def _create_instance(self, index):
        return FakeInstance(
            index,
            self.create_policy(self),
            random.Random(self.rng.random()),
            self.create_queue(),
        )

    def _retry_queued(self, instance):
        # Callers retry the requests that waited in a restarted instance's queue.
        while (ticket := instance.queue.take(self.schedule.now, _always)) is not None:
            record = self.records[ticket.request_id]
            self.schedule.after(self.parameters.network_s, self._retry, record)

    def _retry(self, record):
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
            arrival.time + self.parameters.deadline_s,
        )
        if instance.queue.offer(ticket, now) is not None:
            record.refused = True
            return
        self._dispatch(instance)

    def _dispatch(self, instance):
        now = self.schedule.now
        for ticket in instance.queue.expire(now):
            self.records[ticket.request_id].refused = True
        placements = {}

        def may_dispatch(ticket):
            record = self.records[ticket.request_id]
            views = [self._server_view(instance, name) for name in self.engines]
            request = record.request
            placement = instance.policy.place(request, views, now, instance.rng)
            placements[ticket.request_id] = placement
            return placement is not None

        while (ticket := instance.queue.take(now, may_dispatch)) is not None:
            record = self.records[ticket.request_id]
            self._send(instance, record, placements[ticket.request_id])

    def _server_view(self, instance, name):
        return ServerView(
            name,
            self.engines[name].parameters.slots,
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
            lambda job: self._record_first_token(instance, record, job),
            lambda job, complete: self._record_end(instance, record, name, complete),
        )
        instance.policy.record_start(placement, request, now)
        self._report_to_peers(
            instance, name, request.prompt_tokens - placement.cached_tokens
        )
        instance.in_flight[name] = instance.in_flight.get(name, 0) + 1
        if not self.engines[name].submit(job):
            self._record_end(instance, record, name, False)

    def _report_to_peers(self, instance, name, tokens):
        parameters = self.parameters
        if not 0 < parameters.min_reported_tokens <= tokens:
            return
        for peer in self.instances:
            if peer is not instance:
                self.schedule.after(
                    parameters.peer_report_lag_s,
                    self._receive_peer_report,
                    peer,
                    name,
                    tokens,
                )

    def _receive_peer_report(self, peer, name, tokens):
        peer.policy.record_peer_start(name, tokens, self.schedule.now)

    def _record_first_token(self, instance, record, job):
        now = self.schedule.now
        request = record.request
        if record.first_token_at is None:
            record.first_token_at = now + self.parameters.network_s
        record.prompt_tokens += request.prompt_tokens
        record.cached_tokens += job.cached_tokens
        computed = request.chain[job.cached_tokens // BLOCK_TOKENS :]
        recomputed = sum(block in self.computed_blocks for block in computed)
        record.wasted_tokens += recomputed * BLOCK_TOKENS
        self.computed_blocks.update(computed)
        instance.policy.record_first_token(request.request_id, now)

    def _record_end(self, instance, record, name, complete):
        now = self.schedule.now
        instance.in_flight[name] -= 1
        instance.policy.record_end(record.request.request_id, now)
        if complete:
            record.finished_at = now
        else:
            instance.suspected.add(name)
            current = self.instances[instance.index]
            self.schedule.after(self.parameters.network_s, self._offer, current, record)
        self.schedule.after(0.0, self._dispatch, instance)

    def _poll(self, instance, name):
        if self.instances[instance.index] is not instance:
            return
        engine = self.engines[name]
        if engine.up:
            parameters = self.parameters
            load, events = engine.report(), self._read_events(instance, engine)
            self.schedule.after(
                parameters.load_lag_s, self._apply_load, instance, name, load
            )
            self.schedule.after(
                parameters.events_lag_s, self._apply_events, instance, name, events
            )
        else:
            instance.suspected.add(name)
        self.schedule.after(self.parameters.poll_interval_s, self._poll, instance, name)

    def _read_events(self, instance, engine):
        if instance.incarnations.get(engine.name) != engine.incarnation:
            instance.incarnations[engine.name] = engine.incarnation
            instance.last_sequences[engine.name] = 0
        batch = engine.events_after(instance.last_sequences[engine.name])
        instance.last_sequences[engine.name] = batch.next_sequence - 1
        if self.rng.random() >= self.parameters.event_loss:
            return batch
        delivered = batch.events[len(batch.events) // 2 :]
        return CacheEvents(batch.incarnation, delivered, batch.next_sequence, True)

    def _apply_load(self, instance, name, load):
        if self.engines[name].up:
            instance.suspected.discard(name)
        instance.policy.observe_load(name, load, self.schedule.now)
        self._dispatch(instance)

    def _apply_events(self, instance, name, events):
        instance.policy.observe_events(name, events, self.schedule.now)


def _always(ticket):
    return True
