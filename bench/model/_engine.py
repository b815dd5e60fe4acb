"""Simulated engine with a prefix cache, prefill, slots and token streams."""

import heapq
import itertools
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from bench.model._schedule import Schedule
from cassiaford.engines import CacheEvent, CacheEventKind, CacheEvents, LoadReport
from cassiaford.policy import PlacementRequest

BLOCK_TOKENS = 1024


@dataclass(frozen=True)
class EngineParameters:
    """Speed and capacity of a simulated engine.

    Prefill runs in chunks of up to `chunk_tokens`, one chunk at a time and the most
    urgent prompt first, at `prefill_tokens_per_s`. After its prefill, each running
    request, of which there are at most `slots`, produces a token every
    `token_interval_s`. The cache holds `cache_blocks` blocks and evicts the least
    recently used ones. The engine retains its last `retained_events` cache events.
    """

    prefill_tokens_per_s: float = 25_000.0
    chunk_tokens: int = 4096
    slots: int = 32
    token_interval_s: float = 0.06
    cache_blocks: int = 400
    retained_events: int = 400


class Job:
    """A request on an engine, with the callbacks for its progress."""

    def __init__(
        self,
        request: PlacementRequest,
        priority: int,
        output_tokens: int,
        on_first_token: Callable[["Job"], None],
        on_end: Callable[["Job", bool], None],
    ):
        self.request = request
        self.priority = priority
        self.output_tokens = output_tokens
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.cached_tokens = None
        self.remaining_tokens = request.prompt_tokens


class FakeEngine:
    """A simulated engine that computes prompts, caches blocks and streams tokens."""

    def __init__(self, name: str, parameters: EngineParameters, schedule: Schedule):
        self.name = name
        self.parameters = parameters
        self.schedule = schedule
        self.start_count = 0
        self.up = False
        self.start()

    @property
    def queued_tokens(self) -> int:
        """The prompt tokens that still need prefill, over all requests."""
        return sum(job.remaining_tokens for job in self.awaiting_first_token.values())

    def start(self) -> None:
        """Start with an empty cache and a new incarnation."""
        self.up = True
        self.start_count += 1
        self.incarnation = f"{self.name}#{self.start_count}"
        self.cache = OrderedDict()
        self.expected_blocks = Counter()
        self.events = deque(maxlen=self.parameters.retained_events)
        self.next_sequence = 1
        self.prefilling = []
        self.waiting = []
        self.running = 0
        self.awaiting_first_token = {}
        self.busy = False
        self.jobs = {}
        self._arrival_order = itertools.count()

    def crash(self) -> None:
        """Stop the engine and fail each of its requests."""
        self.up = False
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            job.on_end(job, False)

    def submit(self, job: Job) -> bool:
        """Queue a request; return False if the engine is down."""
        if not self.up:
            return False
        self.jobs[job.request.request_id] = job
        job.remaining_tokens = self.tokens_to_compute(job.request)
        self.awaiting_first_token[job.request.request_id] = job
        self.expected_blocks.update(job.request.chain)
        heapq.heappush(self.waiting, (job.priority, next(self._arrival_order), job))
        self._fill_slots()
        return True

    def cached_tokens(self, request: PlacementRequest) -> int:
        """Return how many tokens of a prompt are in the cache now."""
        cached = 0
        for block in request.chain:
            if block not in self.cache:
                break
            cached += BLOCK_TOKENS
        return min(cached, request.prompt_tokens)

    def tokens_to_compute(self, request: PlacementRequest) -> int:
        """Return how many tokens of a prompt need prefill after all queued prompts."""
        expected = 0
        for block in request.chain:
            if block not in self.cache and not self.expected_blocks[block]:
                break
            expected += BLOCK_TOKENS
        return max(0, request.prompt_tokens - expected)

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            self.incarnation,
            self.running,
            len(self.waiting),
            self.queued_tokens,
            (),
        )

    def events_after(self, sequence: int) -> CacheEvents:
        """Return the retained cache events after a sequence number."""
        events = tuple(event for event in self.events if event.sequence > sequence)
        first = events[0].sequence if events else self.next_sequence
        gap = first > sequence + 1
        return CacheEvents(self.incarnation, events, self.next_sequence, gap)

    def _fill_slots(self):
        while self.waiting and self.running < self.parameters.slots:
            entry = heapq.heappop(self.waiting)
            self.running += 1
            heapq.heappush(self.prefilling, entry)
        self._start_next_chunk()

    def _start_next_chunk(self):
        if self.busy or not self.prefilling:
            return
        entry = heapq.heappop(self.prefilling)
        job = entry[2]
        if job.cached_tokens is None:
            job.cached_tokens = self.cached_tokens(job.request)
            job.remaining_tokens = job.request.prompt_tokens - job.cached_tokens
            self._mark_recently_used(job.request.chain)
        self.busy = True
        chunk = min(self.parameters.chunk_tokens, job.remaining_tokens)
        duration = chunk / self.parameters.prefill_tokens_per_s
        self.schedule.after(duration, self._end_chunk, self.start_count, entry, chunk)

    def _end_chunk(self, start_count, entry, chunk):
        if start_count != self.start_count or not self.up:
            return
        self.busy = False
        job = entry[2]
        job.remaining_tokens -= chunk
        if job.remaining_tokens > 0:
            heapq.heappush(self.prefilling, entry)
        else:
            self._send_first_token(job)
        self._start_next_chunk()

    def _send_first_token(self, job):
        self._store(job.request.chain)
        self.expected_blocks.subtract(job.request.chain)
        del self.awaiting_first_token[job.request.request_id]
        job.on_first_token(job)
        duration = job.output_tokens * self.parameters.token_interval_s
        self.schedule.after(duration, self._end_job, self.start_count, job)

    def _end_job(self, start_count, job):
        if start_count != self.start_count or not self.up:
            return
        del self.jobs[job.request.request_id]
        self.running -= 1
        job.on_end(job, True)
        self._fill_slots()

    def _mark_recently_used(self, chain):
        # In reverse, so that the end of a prompt is evicted before its beginning.
        for block in reversed(chain):
            if block in self.cache:
                self.cache.move_to_end(block)

    def _store(self, chain):
        for block in reversed(chain):
            if block not in self.cache:
                self._append_event(CacheEventKind.STORED, block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.parameters.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self._append_event(CacheEventKind.EVICTED, block)

    def _append_event(self, kind, block):
        self.events.append(CacheEvent(self.next_sequence, kind, block))
        self.next_sequence += 1
