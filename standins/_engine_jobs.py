"""The requests that the engine stand-in runs: queue, prefill and decoding.

At most `slots` requests run at once; queued ones start by priority. Prompts
are prefilled one after the other at a rate in tokens per second. After that,
each running request produces a token per interval, as in continuous batching.
"""

import asyncio
import heapq
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaford.engines import BLOCK_BYTES, BYTES_PER_TOKEN
from standins._engine_cache import PrefixCache
from standins.answers import completion_token

TOKEN_PLACEHOLDER = "<token>"
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN


@dataclass(frozen=True)
class EngineCapacity:
    """The speed of an engine and the number of requests it runs and queues."""

    prefill_tokens_per_s: float
    token_interval_s: float
    slots: int
    queue_length: int


@dataclass(frozen=True)
class JobSpec:
    """The parameters of one request."""

    request_id: str
    priority: int
    model: str
    prompt_tokens: int
    chain: tuple[int, ...] = field(repr=False)
    seed: int
    output_tokens: int
    chat: bool
    streaming: bool
    include_usage: bool
    software_version: str


class Job:
    """A request and the response events that it has produced so far.

    `listeners` are called with each new event, and with None after the last.
    """

    def __init__(self, spec: JobSpec):
        self.spec = spec
        self.created = int(time.time())
        self.text: list[str] = []
        self.events: list[bytes] = []
        self.cached_tokens = 0
        self.prefilled = False
        self.chunk_template: list[str] | None = None
        self.ended = asyncio.Event()
        self.cancelled = False
        self.connections = 0
        self.listeners: list[Callable[[bytes | None], None]] = []
        self.task: asyncio.Task | None = None
        self.removal_timer: asyncio.TimerHandle | None = None

    def add_token(self, index: int) -> None:
        """Produce one output token and its event."""
        token = completion_token(self.spec.seed, index)
        self.text.append(token)
        if index == 0 or index + 1 == self.spec.output_tokens:
            last = index + 1 == self.spec.output_tokens
            choice = self._choice(token, "length" if last else None)
            self._emit(self._chunk([choice]))
        else:
            self._emit_from_template(token)

    def finish(self) -> None:
        """Complete the response."""
        if self.spec.include_usage:
            self._emit(self._chunk([], usage=self.usage()))
        self._emit("[DONE]")
        self._end()

    def cancel(self) -> None:
        """Stop the job, leaving its response incomplete."""
        if self.ended.is_set():
            return
        self.cancelled = True
        if self.task:
            self.task.cancel()
        self._end()

    def usage(self) -> dict:
        """Return the usage object of the OpenAI API."""
        prompt, output = self.spec.prompt_tokens, len(self.text)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def full_response(self) -> dict:
        """Return the response to a request without streaming."""
        text = "".join(self.text)
        choice = {"index": 0, "finish_reason": "length"}
        if self.spec.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        response = self._envelope("chat.completion" if self.spec.chat else None)
        return response | {"choices": [choice], "usage": self.usage()}

    def _emit_from_template(self, token):
        """Emit an event that differs from other such events only in its token.

        Encoding the JSON once and inserting each token saves time.
        """
        if self.chunk_template is None:
            chunk = self._chunk([self._choice(TOKEN_PLACEHOLDER, None)])
            self.chunk_template = json.dumps(chunk).split(TOKEN_PLACEHOLDER)
        self._emit(token.join(self.chunk_template))

    def _emit(self, document):
        text = document if isinstance(document, str) else json.dumps(document)
        event = f"data: {text}\n\n".encode()
        self.events.append(event)
        self._notify_listeners(event)

    def _end(self):
        self.ended.set()
        self._notify_listeners(None)

    def _notify_listeners(self, event):
        for listener in tuple(self.listeners):
            listener(event)

    def _chunk(self, choices, usage=None):
        kind = "chat.completion.chunk" if self.spec.chat else None
        chunk = self._envelope(kind) | {"choices": choices}
        if self.spec.include_usage:
            chunk["usage"] = usage
        return chunk

    def _choice(self, token, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if not self.spec.chat:
            return choice | {"text": token}
        role = {"role": "assistant"} if len(self.text) == 1 else {}
        return choice | {"delta": role | {"content": token}}

    def _envelope(self, kind):
        return {
            "id": f"cmpl-{self.spec.request_id}",
            "object": kind or "text_completion",
            "created": self.created,
            "model": self.spec.model,
            "system_fingerprint": self.spec.software_version,
        }


class Scheduler:
    """Starts queued jobs by priority as slots become free."""

    def __init__(self, capacity: EngineCapacity, cache: PrefixCache):
        self.capacity = capacity
        self.cache = cache
        self.running: set[Job] = set()
        self.waiting: list[tuple[int, int, Job]] = []
        self.arrivals = itertools.count()
        self.prefill_lock = _PriorityLock()

    @property
    def full(self) -> bool:
        """Whether all slots and the whole queue are taken."""
        no_slot = len(self.running) >= self.capacity.slots
        return no_slot and len(self.waiting) >= self.capacity.queue_length

    def submit(self, job: Job) -> None:
        """Queue a job and start it if a slot is free."""
        entry = (job.spec.priority, next(self.arrivals), job)
        heapq.heappush(self.waiting, entry)
        self._start_waiting()

    def cancel(self, job: Job) -> None:
        """Cancel a running or queued job."""
        job.cancel()
        self.waiting = [entry for entry in self.waiting if entry[2] is not job]
        heapq.heapify(self.waiting)

    def queued_tokens(self) -> int:
        """Return the number of prompt tokens not prefilled yet."""
        jobs = [entry[2] for entry in self.waiting]
        jobs.extend(job for job in self.running if not job.prefilled)
        return sum(job.spec.prompt_tokens for job in jobs)

    def _start_waiting(self):
        while self.waiting and len(self.running) < self.capacity.slots:
            job = heapq.heappop(self.waiting)[2]
            self.running.add(job)
            job.task = asyncio.get_running_loop().create_task(self._run(job))
            job.task.add_done_callback(lambda _, job=job: self._release(job))

    def _release(self, job):
        self.running.discard(job)
        self._start_waiting()

    async def _run(self, job):
        loop = asyncio.get_running_loop()
        await self.prefill_lock.acquire(job.spec.priority)
        try:
            await asyncio.sleep(self._prefill_s(job))
        finally:
            self.prefill_lock.release()
        self.cache.store(job.spec.chain)
        job.prefilled = True
        next_token_at = loop.time()
        for index in range(job.spec.output_tokens):
            job.add_token(index)
            next_token_at += self.capacity.token_interval_s
            await asyncio.sleep(next_token_at - loop.time())
        job.finish()

    def _prefill_s(self, job):
        cached_blocks = self.cache.match(job.spec.chain)
        job.cached_tokens = min(cached_blocks * BLOCK_TOKENS, job.spec.prompt_tokens)
        uncached_tokens = job.spec.prompt_tokens - job.cached_tokens
        return uncached_tokens / self.capacity.prefill_tokens_per_s


class _PriorityLock:
    """A lock that goes to the waiter with the lowest priority number."""

    def __init__(self):
        self.locked = False
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self.arrivals = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Acquire the lock, waiting for it if necessary."""
        if not self.locked:
            self.locked = True
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self.arrivals), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Hand the lock to the next waiter, or unlock it if there is none."""
        while self.waiters:
            waiter = heapq.heappop(self.waiters)[2]
            if not waiter.done():
                waiter.set_result(None)
                return
        self.locked = False
