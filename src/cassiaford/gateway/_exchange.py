"""The way of one request: placed, sent, sent again if it may be, relayed."""

import asyncio
import enum
import random
from dataclasses import dataclass

from cassiaford.gateway._attempt import (
    Answer,
    Attempt,
    EventReader,
    last_event_id,
    without_framing,
)
from cassiaford.gateway._configuration import RequestKind
from cassiaford.gateway._dialect import Dialect
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._job import Job
from cassiaford.gateway._messages import Forwarding
from cassiaford.gateway._placer import Choice, Placer, urgency_of
from cassiaford.gateway._prober import ServerProber
from cassiaford.gateway._server_connection import ConnectionPool, ExchangeError
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import RetryBudget, ServerHealth, should_wait
from cassiaford.logs import Event
from cassiaford.verdict import Failure, Refusal, RefusalReason, Verdict, refuse

# Sends of one request, also those that servers turn away.
MAX_SENDS = 4
# A repeatable request goes to another server when its answer has not begun
# after so many times its target latency, within these bounds.
STALL_FACTOR = 3.0
MIN_STALL_S = 0.5
MAX_STALL_S = 1.5
# Callers give up a stream after a gap of two seconds; a gap this long leaves
# time to go on elsewhere.
STREAM_GAP_S = 1.2
# A request that waits for engines to catch up looks again after this time, up
# to half as long again, so that those of all instances do not look at once.
LOOK_AGAIN_S = 0.03
# A caller that is refused for want of servers returns after this at least;
# up to twice as long, so that returns spread.
RETURN_S = 0.15


class _Sent(enum.Enum):
    """What became of an attempt that brought no answer to pass on."""

    AGAIN = "again"
    FINAL = "final"


@dataclass(frozen=True)
class ExchangeParts:
    """What exchanges share."""

    dialect: Dialect
    view: View
    placer: Placer
    trust: ServerHealth
    prober: ServerProber
    pool: ConnectionPool
    budgets: dict[str, RetryBudget]
    log: EventLog
    rng: random.Random


class Exchange:
    """Serves one job, or returns the refusal that ends it."""

    def __init__(self, job: Job, parts: ExchangeParts, instances: int):
        self.job = job
        self.parts = parts
        self.instances = instances
        self.loop = asyncio.get_running_loop()

    async def run(self) -> Refusal | None:
        """Serve the request; return a refusal if nothing of it was served."""
        job = self.job
        budget = self.parts.budgets[job.service]
        budget.record_request(self.loop.time())
        try:
            async with asyncio.timeout_at(job.ends_at):
                return await self._send_until_served(budget)
        except TimeoutError:
            job.failure = Failure.REQUEST_TIMEOUT
            return self._failed(RefusalReason.BACKEND_TIMEOUT)

    async def _send_until_served(self, budget):
        job = self.job
        while True:
            choice = await self._next_choice()
            now = self.loop.time()
            if choice is None:
                return self._none_usable(now)
            if job.sends and not budget.take(now, self.instances):
                return self._failed(RefusalReason.RETRIES_EXHAUSTED)
            if await self._attempt(choice) is not _Sent.AGAIN:
                return None if job.failure is None else self._failed()
            if not job.may_run_again or job.sends >= MAX_SENDS:
                return self._failed()
            self._log_again(choice)

    async def _next_choice(self):
        """Return where the request goes now, once none need go before it."""
        job = self.job
        while True:
            now = self.loop.time()
            choice = self._best_choice(now)
            if choice is None:
                return None
            job.expected_s = choice.first_token_s
            if self._ends_before(choice, now):
                job.too_late = True
                return None
            if not self._should_wait(choice, now):
                return choice
            await self._wait(choice.placement.prefill_s)

    def _should_wait(self, choice, now):
        job = self.job
        if choice.placement is None or job.head_sent:
            # A plain service reads no prompts; a stream that has begun must not
            # pause.
            return False
        return should_wait(
            choice.placement,
            now - job.request.received_at,
            job.route.target_latency_s,
            job.patience_s,
            self.parts.placer.waiting_prefill_s(job.service, self.instances, now),
        )

    async def _wait(self, prefill_s):
        """Wait a moment, counted among the work that waits."""
        job = self.job
        waiting = self.parts.placer.waiting
        began_at = self.loop.time()
        waiting.add(job.facts.attempt_id, prefill_s)
        try:
            await asyncio.sleep(LOOK_AGAIN_S * (1.0 + 0.5 * self.parts.rng.random()))
        finally:
            waiting.remove(job.facts.attempt_id)
            job.waited_s += self.loop.time() - began_at

    def _best_choice(self, now):
        job = self.job
        return self.parts.placer.choose(
            job.service, job.facts, job.customer, job.tried, job.route, now
        )

    def _ends_before(self, choice, now):
        """Return whether the request's time ends before its answer begins."""
        return now + choice.first_token_s > self.job.ends_at

    def _has_another_server(self, now):
        choice = self._best_choice(now)
        return choice is not None and not self._ends_before(choice, now)

    async def _attempt(self, choice):
        """Send to one server; the answer is passed on, or its failure noted."""
        job = self.job
        job.tried.add(choice.key)
        job.server = choice.server.server_id
        attempt = Attempt(self.parts.dialect, self.parts.pool, self._forwarding(choice))
        placer = self.parts.placer
        placer.record_start(choice, job.facts, job.customer, self.loop.time())
        try:
            answer = await self._answer(attempt, choice)
            if answer is None:
                return _Sent.AGAIN
            return await self._pass_on(attempt, answer, choice)
        except ExchangeError as error:
            return self._note_failure(attempt, choice, error)
        finally:
            attempt.cancel()
            placer.record_end(choice, job.facts)

    async def _answer(self, attempt, choice):
        """Return the answer's head; None if its server's failure is replaced."""
        job = self.job
        send = attempt.send(
            job.request, job.facts.attempt_id, only_run=not job.has_more_runs
        )
        try:
            async with asyncio.timeout(self._stall_s()):
                answer = await send
        except TimeoutError as error:
            raise ExchangeError(Failure.FIRST_BYTE_TIMEOUT) from error
        except asyncio.CancelledError:
            if attempt.sent:
                job.verdict = Verdict.MAY_HAVE_RUN
            raise
        finally:
            if attempt.sent:
                job.sends += 1
        job.runs += 1
        job.verdict = Verdict.MAY_HAVE_RUN
        if answer.head.status < 500:
            return answer
        self.parts.trust.record_failure(choice.key, self.loop.time())
        if not job.may_run_again or job.head_sent:
            return answer
        job.failure = Failure.SERVER_ERROR
        budget = self.parts.budgets[job.service]
        now = self.loop.time()
        again = budget.allows(now, self.instances) and self._has_another_server(now)
        return None if again else answer

    async def _pass_on(self, attempt, answer, choice):
        if self.job.route.kind is RequestKind.STREAM and answer.succeeded:
            await self._relay_events(attempt, answer, choice)
        elif self.job.head_sent:
            raise ExchangeError(Failure.UNKNOWN_STREAM, f"{answer.head.status}")
        else:
            await self._relay_whole(attempt, answer)
        attempt.finish()
        self.job.failure = None
        self.job.status = answer.head.status
        self.job.verdict = Verdict.RAN
        if answer.head.status < 500:
            self.parts.trust.record_success(choice.key, self.loop.time())
        return _Sent.FINAL

    async def _relay_whole(self, attempt, answer: Answer):
        connection = self.job.connection
        body = await attempt.body(answer)
        head = answer.head
        headers = self.parts.dialect.returned_headers(head.headers)
        length = len(body) if body is not None else head.length
        connection.send_head(head.status, head.reason, without_framing(headers), length)
        self.job.head_sent = True
        self._note_first()
        if body is None:
            while data := await answer.connection.chunk():
                connection.send_body(data)
                await connection.drain()
        else:
            connection.send_body(body)
        connection.end()

    async def _relay_events(self, attempt, answer, choice):
        job = self.job
        reader = EventReader(answer)
        # A stream that cannot go on elsewhere is waited for.
        gap_s = STREAM_GAP_S if job.route.resumable else None
        begun_at = event_at = None
        while events := await reader.next(gap_s):
            now = self.loop.time()
            if begun_at is None:
                begun_at = now
                self.parts.placer.record_first_token(choice, job.facts, begun_at)
            else:
                job.longest_pause_s = max(job.longest_pause_s, now - event_at)
            event_at = now
            self._send_events(answer, events)
            await job.connection.drain()
        if begun_at is not None:
            self.parts.placer.record_response(job.route, begun_at, self.loop.time())
        if not job.head_sent:
            self._send_events(answer, b"")
        job.connection.end()

    def _send_events(self, answer, events):
        job = self.job
        if not job.head_sent:
            headers = self.parts.dialect.returned_headers(answer.head.headers)
            job.connection.send_head(
                answer.head.status, answer.head.reason, without_framing(headers)
            )
            job.head_sent = True
            self._note_first()
        job.connection.send_body(events)
        job.resume_after = last_event_id(events) or job.resume_after

    def _note_first(self):
        if self.job.first_s is None:
            self.job.first_s = self.loop.time() - self.job.request.received_at

    def _note_failure(self, attempt, choice, error):
        job = self.job
        job.failure = error.failure
        now = self.loop.time()
        if attempt.replaced:
            self.parts.pool.close_idle(choice.server.address)
            self.parts.view.record_replacement(choice.server)
        if error.failure is Failure.NOT_STARTED:
            self.parts.placer.record_rejection(choice, job.facts, now)
        elif not attempt.sent:
            self.parts.prober.record_unreachable(choice.server)
        else:
            if not attempt.answered:
                job.runs += 1
            job.verdict = Verdict.MAY_HAVE_RUN
            self.parts.trust.record_failure(choice.key, now)
            if error.failure is Failure.RESET_BEFORE_RESPONSE:
                self.parts.prober.record_unreachable(choice.server)
        return _Sent.AGAIN

    def _stall_s(self):
        """Return how long an answer's beginning is waited for, if bounded."""
        job = self.job
        if not job.has_more_runs:
            return None
        stall_s = STALL_FACTOR * job.route.target_latency_s
        return max(MIN_STALL_S, min(stall_s, MAX_STALL_S))

    def _forwarding(self, choice: Choice) -> Forwarding:
        job = self.job
        customer = job.customer
        version = choice.server.versions.get(job.facts.model or "")
        return Forwarding(
            server=choice.server,
            time_left_s=job.ends_at - self.loop.time(),
            customer=customer.name if customer is not None else None,
            cache_scope=_cache_scope(customer, version),
            expected_version=version,
            fetch_from=choice.fetch_from,
            save_to=choice.save_to,
            urgency=urgency_of(job.route, customer) if choice.placement else None,
            resume_after=job.resume_after,
        )

    def _none_usable(self, now):
        """Return the refusal of a request that no server can take in time."""
        if self.job.sends:
            return self._failed()
        job = self.job
        placer = self.parts.placer
        return refuse(
            RefusalReason.NO_BACKEND,
            placer.explain(job.service, job.facts, job.tried, now)
            + self._shortage(now),
            self._return_after(placer.backoff_remaining_s(job.service, now)),
        )

    def _shortage(self, now):
        job = self.job
        if job.too_late:
            return (
                f"; the best of the others would begin in {job.expected_s:.2f} s,"
                f" the request ends in {job.ends_at - now:.2f} s"
            )
        return "; the others have no room"

    def _return_after(self, wait_s):
        return (RETURN_S + wait_s) * (1.0 + self.parts.rng.random())

    def _failed(self, reason: RefusalReason | None = None) -> Refusal:
        """Return the final answer to a request that no server served."""
        job = self.job
        failure = job.failure or Failure.CONNECT_FAILED
        if job.verdict is Verdict.NOT_RUN and (job.sends == 0 or failure in _NOT_RUN):
            reason = RefusalReason.NO_BACKEND
            return refuse(reason, failure.text, self._return_after(0.0))
        reason = reason or failure.reason
        if reason.status not in (502, 504):
            reason = RefusalReason.BACKEND_FAILED
        return Refusal(reason, Verdict.MAY_HAVE_RUN, failure.text)

    def _log_again(self, choice):
        job = self.job
        self.parts.log.write(
            Event.REQUEST_RETRIED,
            request_id=job.facts.attempt_id,
            server=choice.server.server_id,
            cause=job.failure.text if job.failure else "",
            sends=job.sends,
            resume_after=job.resume_after or "",
        )


def _cache_scope(customer, version):
    """Return the scope of cached prefixes: one version, and one customer if isolated.

    Prefixes that were made by other weights are never found under it, wherever
    they are fetched from.
    """
    if version is None:
        return None
    isolated = customer is not None and customer.isolated
    return f"{customer.name if isolated else ''}/{version}"


_NOT_RUN = frozenset(f for f in Failure if f.verdict is Verdict.NOT_RUN)
