"""The requests that the engine stand-in runs: queue, prefill and tokens.

Requests share `slots`; waiting ones start by priority. Prompts are computed
one after the other at a rate in tokens a second, and then every running
request gains a token each interval, as in continuous batching.
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
from standins.answers import answer_token

TOKEN_MARK = "<token>"
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN


@dataclass(frozen=True)
class Speed:
    """How fast an engine is, and how much it takes on at once."""

    prefill_tokens_per_s: float
    token_interval_s: float
    slots: int
    queue_length: int


@dataclass(frozen=True)
class Work:
    """What one request asks for."""

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


class Job:
    """A request with the events of its answer so far.

    `listeners` are called with each event as it comes about, and with None
    after the last one.
    """

    def __init__(self, work: Work):
        self.work = work
        self.created = int(time.time())
        self.text: list[str] = []
        self.events: list[bytes] = []
        self.cached_tokens = 0
        self.computed = False
        self.frame: list[str] | None = None
        self.ended = asyncio.Event()
        self.cancelled = False
        self.connections = 0
        self.listeners: list[Callable[[bytes | None], None]] = []
        self.task: asyncio.Task | None = None
        self.forget_timer: asyncio.TimerHandle | None = None

    def add_token(self, index: int) -> None:
        """Produce one token and its event."""
        token = answer_token(self.work.seed, index)
        self.text.append(token)
        if index == 0 or index + 1 == self.work.output_tokens:
            last = index + 1 == self.work.output_tokens
            choice = self._choice(token, "length" if last else None)
            self._emit(self._chunk([choice]))
        else:
            self._emit_between(token)

    def finish(self) -> None:
        """End the answer."""
        if self.work.include_usage:
            self._emit(self._chunk([], usage=self.usage()))
        self._emit("[DONE]")
        self._end()

    def cancel(self) -> None:
        """Stop the job where it stands."""
        if self.ended.is_set():
            return
        self.cancelled = True
        if self.task:
            self.task.cancel()
        self._end()

    def usage(self) -> dict:
        """Return the usage in the form of the published interface."""
        prompt, output = self.work.prompt_tokens, len(self.text)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def whole_answer(self) -> dict:
        """Return the answer to a request that does not stream."""
        text = "".join(self.text)
        choice = {"index": 0, "finish_reason": "length"}
        if self.work.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = self._envelope("chat.completion" if self.work.chat else None)
        return answer | {"choices": [choice], "usage": self.usage()}

    def _emit_between(self, token):
        """Emit an event that differs from its neighbours by the token only."""
        if self.frame is None:
            chunk = self._chunk([self._choice(TOKEN_MARK, None)])
            self.frame = json.dumps(chunk).split(TOKEN_MARK)
        self._emit(token.join(self.frame))

    def _emit(self, document):
        text = document if isinstance(document, str) else json.dumps(document)
        event = f"data: {text}\n\n".encode()
        self.events.append(event)
        self._tell(event)

    def _end(self):
        self.ended.set()
        self._tell(None)

    def _tell(self, event):
        for listener in tuple(self.listeners):
            listener(event)

    def _chunk(self, choices, usage=None):
        kind = "chat.completion.chunk" if self.work.chat else None
        chunk = self._envelope(kind) | {"choices": choices}
        if self.work.include_usage:
            chunk["usage"] = usage
        return chunk

    def _choice(self, token, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if not self.work.chat:
            return choice | {"text": token}
        role = {"role": "assistant"} if len(self.text) == 1 else {}
        return choice | {"delta": role | {"content": token}}

    def _envelope(self, kind):
        return {
            "id": f"cmpl-{self.work.request_id}",
            "object": kind or "text_completion",
            "created": self.created,
            "model": self.work.model,
        }


class Scheduler:
    """Starts waiting jobs by priority as slots become free."""

    def __init__(self, speed: Speed, cache: PrefixCache):
        self.speed = speed
        self.cache = cache
        self.running: set[Job] = set()
        self.waiting: list[tuple[int, int, Job]] = []
        self.arrivals = itertools.count()
        self.prefill = _PriorityLock()

    @property
    def full(self) -> bool:
        """Whether another job would wait longer than the queue allows."""
        no_slot = len(self.running) >= self.speed.slots
        return no_slot and len(self.waiting) >= self.speed.queue_length

    def submit(self, job: Job) -> None:
        """Take a job on."""
        entry = (job.work.priority, next(self.arrivals), job)
        heapq.heappush(self.waiting, entry)
        self._start_waiting()

    def drop(self, job: Job) -> None:
        """Cancel a job, running or waiting."""
        job.cancel()
        self.waiting = [entry for entry in self.waiting if entry[2] is not job]
        heapq.heapify(self.waiting)

    def queued_tokens(self) -> int:
        """Return the prompt tokens that are not computed yet."""
        jobs = [entry[2] for entry in self.waiting]
        jobs.extend(job for job in self.running if not job.computed)
        return sum(job.work.prompt_tokens for job in jobs)

    def _start_waiting(self):
        while self.waiting and len(self.running) < self.speed.slots:
            job = heapq.heappop(self.waiting)[2]
            self.running.add(job)
            job.task = asyncio.get_running_loop().create_task(self._run(job))
            job.task.add_done_callback(lambda _, job=job: self._release(job))

    def _release(self, job):
        self.running.discard(job)
        self._start_waiting()

    async def _run(self, job):
        loop = asyncio.get_running_loop()
        await self.prefill.acquire(job.work.priority)
        try:
            await asyncio.sleep(self._prefill_s(job))
        finally:
            self.prefill.release()
        self.cache.store(job.work.chain)
        job.computed = True
        next_token_at = loop.time()
        for index in range(job.work.output_tokens):
            job.add_token(index)
            next_token_at += self.speed.token_interval_s
            await asyncio.sleep(next_token_at - loop.time())
        job.finish()

    def _prefill_s(self, job):
        cached_blocks = self.cache.match(job.work.chain)
        job.cached_tokens = min(cached_blocks * BLOCK_TOKENS, job.work.prompt_tokens)
        rest = job.work.prompt_tokens - job.cached_tokens
        return rest / self.speed.prefill_tokens_per_s


class _PriorityLock:
    """A lock that the waiter with the lowest priority number gets next."""

    def __init__(self):
        self.held = False
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self.arrivals = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for the lock."""
        if not self.held:
            self.held = True
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self.arrivals), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give the lock to the next waiter."""
        while self.waiters:
            turn = heapq.heappop(self.waiters)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.held = False
