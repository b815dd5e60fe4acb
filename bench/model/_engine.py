"""One fake model engine: prefix cache, prompt computation, slots, streams."""

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
class EngineFigures:
    """The figures of a fake engine.

    Prompts are computed one chunk of `chunk_tokens` at a time, the most urgent
    first, at `prefill_tokens_per_s`. Each of `slots` running requests then
    gets a token every `token_interval_s`. The cache holds `cache_blocks`
    blocks and evicts the least recently used one. The last `kept_events`
    cache events can be asked for.
    """

    prefill_tokens_per_s: float = 25_000.0
    chunk_tokens: int = 4096
    slots: int = 32
    token_interval_s: float = 0.06
    cache_blocks: int = 400
    kept_events: int = 400


class Job:
    """A request on an engine."""

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
        self.left_tokens = request.prompt_tokens


class FakeEngine:
    """Computes prompts, keeps their blocks and streams tokens."""

    def __init__(self, name: str, figures: EngineFigures, schedule: Schedule):
        self.name = name
        self.figures = figures
        self.schedule = schedule
        self.starts = 0
        self.up = False
        self.start()

    @property
    def queued_tokens(self) -> int:
        """The prompt tokens still to be computed."""
        return sum(job.left_tokens for job in self.unanswered.values())

    def start(self) -> None:
        """Come up with an empty cache and a new incarnation."""
        self.up = True
        self.starts += 1
        self.incarnation = f"{self.name}#{self.starts}"
        self.cache = OrderedDict()
        self.expected_blocks = Counter()
        self.events = deque(maxlen=self.figures.kept_events)
        self.next_sequence = 1
        self.prefilling = []
        self.waiting = []
        self.running = 0
        self.unanswered = {}
        self.busy = False
        self.jobs = {}
        self._counter = itertools.count()

    def crash(self) -> None:
        """Lose everything; each request on the engine fails."""
        self.up = False
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            job.on_end(job, False)

    def submit(self, job: Job) -> bool:
        """Take a request; False if the engine is down."""
        if not self.up:
            return False
        self.jobs[job.request.request_id] = job
        job.left_tokens = self.tokens_to_compute(job.request)
        self.unanswered[job.request.request_id] = job
        self.expected_blocks.update(job.request.chain)
        heapq.heappush(self.waiting, (job.priority, next(self._counter), job))
        self._fill_slots()
        return True

    def cached_tokens(self, request: PlacementRequest) -> int:
        """Return the part of a prompt that is in the cache now."""
        held = 0
        for block in request.chain:
            if block not in self.cache:
                break
            held += BLOCK_TOKENS
        return min(held, request.prompt_tokens)

    def tokens_to_compute(self, request: PlacementRequest) -> int:
        """Return what a prompt will need after those that wait before it."""
        held = 0
        for block in request.chain:
            if block not in self.cache and not self.expected_blocks[block]:
                break
            held += BLOCK_TOKENS
        return max(0, request.prompt_tokens - held)

    def report(self) -> LoadReport:
        """Return the load now."""
        return LoadReport(
            self.incarnation,
            self.running,
            len(self.waiting),
            self.queued_tokens,
            (),
        )

    def events_after(self, sequence: int) -> CacheEvents:
        """Return the kept cache events after a sequence number."""
        events = tuple(event for event in self.events if event.sequence > sequence)
        first = events[0].sequence if events else self.next_sequence
        gap = first > sequence + 1
        return CacheEvents(self.incarnation, events, self.next_sequence, gap)

    def _fill_slots(self):
        while self.waiting and self.running < self.figures.slots:
            entry = heapq.heappop(self.waiting)
            self.running += 1
            heapq.heappush(self.prefilling, entry)
        self._compute()

    def _compute(self):
        if self.busy or not self.prefilling:
            return
        entry = heapq.heappop(self.prefilling)
        job = entry[2]
        if job.cached_tokens is None:
            job.cached_tokens = self.cached_tokens(job.request)
            job.left_tokens = job.request.prompt_tokens - job.cached_tokens
            self._touch(job.request.chain)
        self.busy = True
        chunk = min(self.figures.chunk_tokens, job.left_tokens)
        duration = chunk / self.figures.prefill_tokens_per_s
        self.schedule.after(duration, self._chunk_done, self.starts, entry, chunk)

    def _chunk_done(self, starts, entry, chunk):
        if starts != self.starts or not self.up:
            return
        self.busy = False
        job = entry[2]
        job.left_tokens -= chunk
        if job.left_tokens > 0:
            heapq.heappush(self.prefilling, entry)
        else:
            self._first_token(job)
        self._compute()

    def _first_token(self, job):
        self._store(job.request.chain)
        self.expected_blocks.subtract(job.request.chain)
        del self.unanswered[job.request.request_id]
        job.on_first_token(job)
        duration = job.output_tokens * self.figures.token_interval_s
        self.schedule.after(duration, self._end, self.starts, job)

    def _end(self, starts, job):
        if starts != self.starts or not self.up:
            return
        del self.jobs[job.request.request_id]
        self.running -= 1
        job.on_end(job, True)
        self._fill_slots()

    def _touch(self, chain):
        # The end of a prompt is evicted before its beginning.
        for block in reversed(chain):
            if block in self.cache:
                self.cache.move_to_end(block)

    def _store(self, chain):
        for block in reversed(chain):
            if block not in self.cache:
                self._publish(CacheEventKind.STORED, block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.figures.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, block)

    def _publish(self, kind, block):
        self.events.append(CacheEvent(self.next_sequence, kind, block))
        self.next_sequence += 1
