"""The life of one request: placement, sending, retries and relaying."""

import asyncio
import enum
from dataclasses import replace

from cassiaford.gateway._attempt import (
    Attempt,
    EventReader,
    ServerResponse,
    last_event_id,
    without_content_length,
)
from cassiaford.gateway._configuration import RequestKind
from cassiaford.gateway._exchange_context import ExchangeContext
from cassiaford.gateway._job import Job
from cassiaford.gateway._messages import Forwarding
from cassiaford.gateway._placer import Choice, urgency_of
from cassiaford.gateway._server_chooser import ServerChooser
from cassiaford.gateway._server_connection import ExchangeError
from cassiaford.gateway._start_limit import start_limit
from cassiaford.logs import Event
from cassiaford.verdict import Failure, Refusal, RefusalReason, Verdict, refuse

# Maximum sends of one request, including those that servers reject.
MAX_SENDS = 4
# A repeatable request is retried on another server when its response has not
# started after this multiple of its target latency, within these bounds.
STALL_TIMEOUT_FACTOR = 3.0
MIN_STALL_TIMEOUT_S = 0.5
MAX_STALL_TIMEOUT_S = 1.5
# Callers abandon a stream after a gap of two seconds. A shorter timeout leaves
# time to resume on another server.
STREAM_IDLE_TIMEOUT_S = 1.2
# Minimum Retry-After of a refusal for lack of servers. A random factor of up to
# two spreads the retries.
MIN_RETRY_AFTER_S = 0.15
# A server that crashed is back after some seconds, mostly with the same software.
VERSION_ABSENT_S = 1.0


class _AttemptOutcome(enum.Enum):
    """Whether an attempt was the last one or another may follow."""

    RETRY = "again"
    FINAL = "final"


class Exchange:
    """Serves one job in a fleet of `instances`, or returns a refusal.

    `instances` is None while the size of the fleet is unknown.
    """

    def __init__(self, job: Job, context: ExchangeContext, instances: int | None):
        self.job = job
        self.context = context
        self.instances = instances
        self.chooser = ServerChooser(job, context, instances or 1)
        self.loop = asyncio.get_running_loop()
        self.stopped = False
        self._timeout: asyncio.Timeout | None = None

    def stop(self) -> None:
        """Have the exchange end now, since the instance does."""
        self.stopped = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self.loop.time())

    async def run(self) -> Refusal | None:
        """Serve the request; return a refusal if nothing of it was served."""
        job = self.job
        try:
            async with asyncio.timeout_at(job.deadline) as self._timeout:
                if job.taken_up:
                    refusal = await self._find_origin()
                    if refusal is not None:
                        return refusal
                budget = self.context.budgets[job.service]
                budget.record_request(self.loop.time())
                return await self._send_until_served(budget)
        except TimeoutError:
            if self.stopped:
                return self._stop_refusal()
            job.failure = Failure.REQUEST_TIMEOUT
            return self._failure_refusal(RefusalReason.BACKEND_TIMEOUT)

    async def _find_origin(self):
        """Find where the stream began; return a refusal if it may not go on."""
        job = self.job
        context = self.context
        resumes = job.metadata.resumes
        if resumes is not None:
            job.origin = await context.origins.find(resumes)
        if job.origin is None:
            job.origin = context.sole_origins.find(job.route, self.loop.time())
        if job.origin is None:
            return refuse(
                RefusalReason.STREAM_ORIGIN_UNKNOWN,
                self._describe_origin(),
                self._retry_after_s(0.0),
            )
        if all(target.service != job.origin.service for target in job.route.targets):
            return refuse(
                RefusalReason.NO_BACKEND,
                f"the route no longer leads to {job.origin.service},"
                " which began the stream",
            )
        job.service = job.origin.service
        return None

    async def _send_until_served(self, budget):
        job = self.job
        while True:
            choice = await self.chooser.next_choice()
            refusal = self.context.crashes.refusal(job)
            if refusal is not None:
                return refusal
            now = self.loop.time()
            if choice is None:
                return self._no_server_refusal(now)
            if not self._can_finish(choice, now):
                return self._stop_refusal()
            if job.sends and not budget.take(now, self.instances):
                return self._failure_refusal(RefusalReason.RETRIES_EXHAUSTED)
            if await self._run_attempt(choice) is not _AttemptOutcome.RETRY:
                return None if job.failure is None else self._failure_refusal()
            if not job.may_run_again or job.sends >= MAX_SENDS:
                return self._failure_refusal()
            self._log_retry(choice)

    async def _run_attempt(self, choice):
        """Send to one server, then relay its response or record its failure."""
        job = self.job
        job.tried_servers.add(choice.key)
        job.server_id = choice.server.server_id
        attempt = Attempt(
            self.context.dialect,
            self.context.pool,
            self._forwarding(choice),
            job.deadline,
        )
        placer = self.context.placer
        started_at = self.loop.time()
        placer.record_start(choice, job.metadata, job.customer, started_at)
        self.context.view.log_replaced_weights(choice.server, job.metadata.model)
        try:
            response = await self._receive_response(attempt, choice)
            if response is None:
                return _AttemptOutcome.RETRY
            outcome = await self._relay(attempt, response, choice)
            self.context.stop.record_run(job.route.name, self.loop.time() - started_at)
            return outcome
        except ExchangeError as error:
            return await self._record_failure(attempt, choice, error)
        finally:
            attempt.cancel()
            placer.record_end(choice, job.metadata)

    async def _receive_response(self, attempt, choice):
        """Return the response's head, or None if a server error is to be retried."""
        job = self.job
        send = attempt.send(
            job.request,
            job.metadata.attempt_id,
            single_run=not job.has_more_runs,
            unusable=lambda: self._unusable(choice),
        )
        try:
            async with (
                asyncio.timeout(self._response_timeout_s()),
                self._start_limit(choice),
            ):
                response = await send
        except TimeoutError as error:
            raise ExchangeError(Failure.FIRST_BYTE_TIMEOUT) from error
        except asyncio.CancelledError:
            if attempt.sent:
                job.verdict = Verdict.MAY_HAVE_RUN
                self.context.crashes.record_break(job, choice.server)
            raise
        finally:
            if attempt.sent:
                job.sends += 1
        job.runs += 1
        job.verdict = Verdict.MAY_HAVE_RUN
        if response.head.status < 500:
            return response
        self.context.health.record_failure(choice.key, self.loop.time())
        if not job.may_run_again or job.head_sent:
            return response
        job.failure = Failure.SERVER_ERROR
        budget = self.context.budgets[job.service]
        now = self.loop.time()
        if not budget.allows(now, self.instances):
            return response
        return None if self.chooser.has_another_server(now) else response

    async def _relay(self, attempt, response, choice):
        if self.job.route.kind is RequestKind.STREAM and response.succeeded:
            await self._relay_events(attempt, response, choice)
        elif self.job.head_sent:
            raise ExchangeError(Failure.UNKNOWN_STREAM, f"{response.head.status}")
        else:
            await self._relay_whole(attempt, response)
        attempt.finish()
        self.job.failure = None
        self.job.status = response.head.status
        self.job.verdict = Verdict.RAN
        self.context.crashes.record_completion(self.job)
        if response.head.status < 500:
            self.context.health.record_success(choice.key, self.loop.time())
        return _AttemptOutcome.FINAL

    async def _relay_whole(self, attempt, response: ServerResponse):
        connection = self.job.connection
        body, complete = await attempt.read_start(response)
        head = response.head
        headers = self.context.dialect.returned_headers(head.headers)
        length = len(body) if complete else head.length
        connection.send_head(
            head.status, head.reason, without_content_length(headers), length
        )
        self.job.head_sent = True
        self._record_first_byte()
        connection.send_body(body)
        while not complete and (data := await response.connection.chunk()):
            connection.send_body(data)
            await connection.drain()
        connection.end()

    async def _relay_events(self, attempt, response, choice):
        job = self.job
        reader = EventReader(response)
        # A stream that cannot resume on another server has no idle timeout.
        idle_timeout_s = STREAM_IDLE_TIMEOUT_S if job.route.resumable else None
        first_event_at = last_event_at = None
        async with self._start_limit(choice):
            events = await self._next_events(reader, idle_timeout_s)
        while events:
            now = self.loop.time()
            if first_event_at is None:
                first_event_at = now
                self.context.placer.record_first_token(
                    choice, job.metadata, first_event_at
                )
            else:
                job.longest_pause_s = max(job.longest_pause_s, now - last_event_at)
            last_event_at = now
            if not job.head_sent:
                self._settle_origin(choice)
            self._send_events(response, events)
            await job.connection.drain()
            events = await self._next_events(reader, idle_timeout_s)
        if first_event_at is not None:
            self.context.placer.record_response(
                job.route, first_event_at, self.loop.time()
            )
        if not job.head_sent:
            self._send_events(response, b"")
        job.connection.end()

    def _settle_origin(self, choice):
        """Record where the stream began, before its caller sees an event."""
        job = self.job
        if not job.continues:
            job.origin = self.context.view.origin_of(choice.server)
            if job.route.resumable:
                now = self.loop.time()
                self.context.begun.record(job.first_attempt_id, choice.server, now)
        if job.route.resumable:
            self.context.origins.record(job.first_attempt_id, job.origin)

    async def _next_events(self, reader, idle_timeout_s):
        """Return the next events; raise if another server should send them."""
        while True:
            try:
                return await reader.next(idle_timeout_s)
            except ExchangeError as error:
                if error.failure is not Failure.IDLE_TIMEOUT:
                    raise
                # A stream that no other server may continue is left to go on.
                now = self.loop.time()
                if not self.job.continues or self.chooser.has_another_server(now):
                    raise

    def _send_events(self, response, events):
        job = self.job
        if not job.head_sent:
            headers = self.context.dialect.returned_headers(response.head.headers)
            job.connection.send_head(
                response.head.status,
                response.head.reason,
                without_content_length(headers),
            )
            job.head_sent = True
            self._record_first_byte()
        job.connection.send_body(events)
        job.resume_after = last_event_id(events) or job.resume_after

    def _record_first_byte(self):
        if self.job.first_byte_s is None:
            self.job.first_byte_s = self.loop.time() - self.job.request.received_at

    async def _record_failure(self, attempt, choice, error):
        job = self.job
        job.failure = error.failure
        now = self.loop.time()
        if attempt.server_replaced:
            self.context.pool.close_idle(choice.server.address)
            self.context.view.record_replacement(choice.server)
        if error.failure is Failure.NOT_STARTED:
            self.context.placer.record_rejection(choice, job.metadata, now)
        elif not attempt.sent and error.failure in _SERVER_CHANGES:
            return _AttemptOutcome.RETRY
        elif not attempt.sent:
            self.context.prober.record_unreachable(choice.server)
        else:
            if not attempt.has_response:
                job.runs += 1
            job.verdict = Verdict.MAY_HAVE_RUN
            if error.failure is Failure.WITHDRAWN:
                return _AttemptOutcome.RETRY
            self.context.health.record_failure(choice.key, now)
            if error.failure is Failure.RESET_BEFORE_RESPONSE:
                self.context.prober.record_unreachable(choice.server)
            elif error.failure is Failure.TRUNCATED_RESPONSE:
                self.context.prober.probe(choice.server)
            if error.failure in _CRASH_FAILURES:
                self.context.crashes.record_break(job, choice.server)
                if self.context.crashes.is_suspect(job):
                    # Whether this was a crash decides if the request is sent again.
                    await self.context.prober.first_result(choice.server)
        return _AttemptOutcome.RETRY

    def _unusable(self, choice):
        """Return why a chosen server may not get the request any more, or None."""
        if not self.context.view.is_serving(self.job.service, choice.key):
            return Failure.SERVER_LEFT
        placer, now = self.context.placer, self.loop.time()
        if now > placer.send_by(choice, self.job.metadata, now):
            return Failure.WEIGHTS_REPLACED
        return None

    def _start_limit(self, choice):
        """Return the limit on the time until the request begins at its server."""
        placer, metadata = self.context.placer, self.job.metadata
        return start_limit(
            lambda: placer.withdraw_at(choice, metadata, self.loop.time())
        )

    def _response_timeout_s(self):
        """Return the timeout for the response's head, or None for no timeout."""
        job = self.job
        if not job.has_more_runs:
            return None
        if job.continues and not self.chooser.has_another_server(self.loop.time()):
            return None
        timeout_s = STALL_TIMEOUT_FACTOR * job.route.target_latency_s
        return max(MIN_STALL_TIMEOUT_S, min(timeout_s, MAX_STALL_TIMEOUT_S))

    def _forwarding(self, choice: Choice) -> Forwarding:
        job = self.job
        customer = job.customer
        version = self._expected_version(choice)
        job.cache_scope = self._cache_scope(version)
        return Forwarding(
            server=choice.server,
            customer=customer.name if customer is not None else None,
            cache_scope=job.cache_scope,
            expected_version=version,
            fetch_from=choice.fetch_from,
            save_to=choice.save_to,
            urgency=urgency_of(job.route, customer) if choice.placement else None,
            resume_after=job.resume_after,
        )

    def _cache_scope(self, version):
        """Return the scope of the prompt's cached prefixes, None if it has no prompt.

        Because the scope names the version, an engine never finds prefixes that were
        computed with other weights, whichever cache it fetches them from.
        """
        job = self.job
        if not job.metadata.is_generation:
            return None
        scope = self.context.view.configuration.cache_scope(job.customer)
        return f"{scope}/{'' if version is None else version}"

    def _expected_version(self, choice):
        """Return the weights that a server must have for the request, or None.

        If its entry does not tell, these are the newest, as replaced ones may be
        overdue.
        """
        model = self.job.metadata.model or ""
        newest = self.context.view.named_versions.newest(model) or None
        return choice.server.versions.get(model, newest)

    def _no_server_refusal(self, now):
        """Return the refusal of a request that no server can serve in time."""
        job = self.job
        if job.sends:
            refusal = self._failure_refusal()
            if job.continues:
                message = f"{refusal.message}; {self._describe_origin()}"
                refusal = replace(refusal, message=message)
            return refusal
        placer = self.context.placer
        wait_s = placer.available_in_s(job.service, job.metadata, now)
        cause = placer.explain(job.service, job.metadata, job.tried_servers, now)
        cause += self._describe_shortage(now)
        if job.continues:
            wait_s = VERSION_ABSENT_S
            cause += f"; {self._describe_origin()}"
        return refuse(RefusalReason.NO_BACKEND, cause, self._retry_after_s(wait_s))

    def _describe_origin(self):
        origin = self.job.origin
        if origin is None:
            return "it is unknown which software version began the stream"
        return (
            f"only software version {origin.software_version} of {origin.service},"
            " which began the stream, may continue it"
        )

    def _describe_shortage(self, now):
        job = self.job
        if job.misses_deadline:
            return (
                "; the best of the others would start in"
                f" {job.expected_first_token_s:.2f} s,"
                f" the request's deadline is in {job.deadline - now:.2f} s"
            )
        return (
            "; the others have no free capacity, or would start the request too late"
            " on replaced weights"
        )

    def _retry_after_s(self, wait_s):
        return (MIN_RETRY_AFTER_S + wait_s) * (1.0 + self.context.rng.random())

    def _can_finish(self, choice, now):
        """Return whether the request may end before a stopping instance does."""
        job = self.job
        return self.context.stop.can_finish(
            job.route.name, job.deadline, choice.first_token_s, now
        )

    def _stop_refusal(self):
        """Return the refusal of a request that outlasts the instance."""
        message = "the instance stops before the request could end"
        if self.job.verdict is Verdict.NOT_RUN:
            return refuse(RefusalReason.STOPPING, message, 0.0)
        return Refusal(RefusalReason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, message)

    def _failure_refusal(self, reason: RefusalReason | None = None) -> Refusal:
        """Return the refusal of a request whose attempts all failed."""
        job = self.job
        failure = job.failure or Failure.CONNECT_FAILED
        if job.verdict is Verdict.NOT_RUN and (
            job.sends == 0 or failure in _NOT_RUN_FAILURES
        ):
            reason = RefusalReason.NO_BACKEND
            return refuse(reason, failure.text, self._retry_after_s(0.0))
        reason = reason or failure.reason
        if reason.status not in (502, 504):
            reason = RefusalReason.BACKEND_FAILED
        return Refusal(reason, Verdict.MAY_HAVE_RUN, failure.text)

    def _log_retry(self, choice):
        job = self.job
        self.context.log.write(
            Event.REQUEST_RETRIED,
            request_id=job.metadata.attempt_id,
            server=choice.server.server_id,
            cause=job.failure.text if job.failure else "",
            sends=job.sends,
            fingerprint=job.fingerprint,
            resume_after=job.resume_after or "",
            continues_stream=job.continues,
            software_version=job.origin.software_version if job.origin else "",
        )


# The failures by which a gateway may notice that a server has crashed.
_CRASH_FAILURES = frozenset(
    {
        Failure.RESET_BEFORE_RESPONSE,
        Failure.TRUNCATED_RESPONSE,
        Failure.FIRST_BYTE_TIMEOUT,
        Failure.IDLE_TIMEOUT,
    }
)
# Nothing is wrong with a server that left or whose weights were replaced.
_SERVER_CHANGES = frozenset(
    {Failure.SERVER_LEFT, Failure.WEIGHTS_REPLACED, Failure.WITHDRAWN}
)
_NOT_RUN_FAILURES = frozenset(f for f in Failure if f.verdict is Verdict.NOT_RUN)
