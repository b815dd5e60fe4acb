"""The dispatcher, which takes an admitted request to its complete response.

A few threads place requests and send them to backend servers; the event loop of
the relay handles the responses. No thread blocks while an engine computes or a
caller reads.
"""

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable

from cassiaford.config import Configuration
from cassiaford.engines import CacheEvents, LoadReport
from cassiaford.logs import Event
from cassiaford.pipeline._background import BackgroundCalls
from cassiaford.pipeline._forward import ForwardError, send_request
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._limits import exchange_limits
from cassiaford.pipeline._messages import AdmittedRequest, Outcome
from cassiaford.pipeline._owner import ExchangeOwner
from cassiaford.pipeline._refusals import stopping_refusal
from cassiaford.pipeline._relay import Relay
from cassiaford.pipeline._suspects import SuspectPolicy
from cassiaford.pipeline._upstream import upstream_request
from cassiaford.pipeline._versions import ServedVersions, upstream_for_server
from cassiaford.pipeline._waiting import WaitingJobs
from cassiaford.policy import (
    Failure,
    FifoQueue,
    PlacementPolicy,
    RequestQueue,
    RetryDecision,
)
from cassiaford.settings import LimitSettings
from cassiaford.timeline import Journal, Subject
from cassiaford.verdict import Refusal, Verdict

DISPATCH_THREADS = 8
# The queue is rechecked this often even if no event has woken a thread.
QUEUE_CHECK_INTERVAL_S = 0.05
# An abort takes one iteration of the event loop.
ABORT_TIMEOUT_S = 5.0
# The outcome of a request whose caller disconnected before it was submitted.
ABANDONED_OUTCOME = Outcome(Verdict.NOT_RUN, 0)


class Dispatcher(ExchangeOwner):
    """Places and sends admitted requests and relays their responses.

    Examples
    --------
    >>> dispatcher.start()  # doctest: +SKIP
    >>> dispatcher.submit(admitted, caller_socket, on_finished)  # doctest: +SKIP
    >>> dispatcher.drain(60.0)  # doctest: +SKIP
    0
    """

    def __init__(
        self,
        settings: LimitSettings,
        configuration: Callable[[], Configuration],
        placement: PlacementPolicy,
        journal: Journal,
        rng: random.Random,
        credential: str,
        suspects: SuspectPolicy | None,
        clock: Callable[[], float],
        queue: RequestQueue,
        versions: ServedVersions | None = None,
    ):
        self.versions = versions
        self.settings = settings
        self.placement = placement
        self.journal = journal
        self.credential = credential
        self.suspects = suspects
        self.clock = clock
        self.waiting = WaitingJobs(
            settings, configuration, placement, queue, rng, suspects, clock(), versions
        )
        self.health = self.waiting.health
        self.jobs = set()
        self.running = False
        self.drain_aborted = False
        self.relay = Relay(self, exchange_limits(settings))
        self.threads = []
        self.background = BackgroundCalls(
            credential, settings.connect_timeout_s, self.record_fault
        )
        self._changed = threading.Condition()

    @property
    def in_flight(self) -> int:
        """The number of submitted requests whose response is not yet delivered."""
        return len(self.jobs)

    def start(self) -> None:
        """Start the threads."""
        self.running = True
        self.relay.start()
        for number in range(DISPATCH_THREADS):
            thread = threading.Thread(
                target=self._dispatch, name=f"dispatch-{number}", daemon=True
            )
            self.threads.append(thread)
            thread.start()

    def stop(self, timeout_s: float) -> None:
        """Abort the remaining requests and stop the threads."""
        stop_deadline = time.monotonic() + timeout_s
        with self._changed:
            self.running = False
            self._changed.notify_all()
        if self.relay.thread.is_alive():
            with contextlib.suppress(TimeoutError):
                self._abort_jobs(timeout_s)
        for thread in self.threads:
            thread.join(max(0.0, stop_deadline - time.monotonic()))
        self.relay.stop(max(0.0, stop_deadline - time.monotonic()))
        self.background.stop()

    def drain(self, timeout_s: float) -> int:
        """Wait until every response is delivered; return how many were aborted."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self.jobs or self.drain_aborted, timeout_s
            )
            if not self.jobs:
                return 0
        return self._abort_jobs(ABORT_TIMEOUT_S)

    def abort_drain(self) -> None:
        """Make `drain`, running or yet to come, abort the rest immediately."""
        with self._changed:
            self.drain_aborted = True
            self._changed.notify_all()

    def submit(
        self,
        request: AdmittedRequest,
        caller: socket.socket,
        on_finished: Callable[[AdmittedRequest, Outcome], None],
    ) -> None:
        """Take over a request and its caller's socket, without blocking.

        The dispatcher writes the whole response and closes the socket.
        `on_finished` is called exactly once, on another thread.
        """
        if caller.fileno() < 0:
            self.background.report_outcome(request, on_finished, ABANDONED_OUTCOME)
            return
        received_at = request.authenticated.caller.received_at
        job = Job(
            request=request,
            upstream=upstream_request(request, self.credential),
            caller=caller,
            on_finished=on_finished,
            request_deadline=received_at + self.settings.request_timeout_s,
        )
        caller.setblocking(False)
        refusal = self._refuse_suspect(request)
        with self._changed:
            if not self.running:
                self.background.refuse(job, stopping_refusal(Verdict.NOT_RUN))
                return
            self.jobs.add(job)
            if refusal is None:
                refusal = self.waiting.offer(job, self.clock())
            self._changed.notify()
        if refusal is not None:
            self.relay.refuse(job, refusal)

    def observe_load(self, server: str, report: LoadReport) -> None:
        """Pass a load report to the placement policy."""
        with self._changed:
            self.placement.observe_load(server, report, self.clock())
            self._changed.notify()

    def observe_peer_prompt(self, server: str, tokens: int) -> None:
        """Record prompt tokens that a peer reported as sent to a server."""
        with self._changed:
            self.placement.record_peer_start(server, tokens, self.clock())

    def observe_events(self, server: str, events: CacheEvents) -> None:
        """Pass cache events to the placement policy."""
        with self._changed:
            self.placement.observe_events(server, events, self.clock())

    def remove_server(self, server: str) -> None:
        """Discard the state of a server that left or restarted."""
        with self._changed:
            self.placement.remove_server(server)
            self.health.remove_server(server)

    # The methods of ExchangeOwner, called in the event loop.

    def decide_retry(self, job: Job) -> RetryDecision:
        """Return whether the retry budget allows another attempt."""
        with self._changed:
            return self.waiting.budget.decide(job.failed_request(), self.clock())

    def may_continue(self, job: Job) -> bool:
        """Return whether the job's server, as configured now, fits its stream."""
        # A server that starts a stream anew may have been replaced meanwhile.
        server = self.waiting.configuration().servers.get(job.server.name)
        return server is not None and job.may_continue_at(server)

    def requeue(self, job: Job) -> Refusal | None:
        """Queue a job again, ahead of those that wait for their first attempt."""
        event = Event.REQUEST_RETRIED if job.resume_at is None else Event.STREAM_RESUMED
        self.journal.record(event, self._subject(job), attempts=job.attempts)
        with self._changed:
            refusal = self._refuse_suspect(job.request)
            if refusal is None:
                refusal = self.waiting.offer_resent(job, self.clock())
            self._changed.notify()
        return refusal

    def record_server_failure(self, job: Job, failure: Failure) -> None:
        """Mark the server as suspected if its connection failed."""
        server = job.server
        if server is None:
            return
        if self.suspects is not None and job.indicates_crash(failure):
            self.suspects.record_crash(job.request, server.name)
        if not failure.suspects_server:
            return
        with self._changed:
            now = self.clock()
            newly_suspected = not self.health.suspected(server.name, now)
            self.health.record_failure(server.name, now)
        if newly_suspected:
            self.journal.record(
                Event.SERVER_SUSPECTED, self._subject(job), failure=failure.text
            )

    def release_server(self, job: Job, answered: bool) -> None:
        """Free the slot that the job occupied on its server."""
        server = job.server
        if server is None:
            return
        if self.suspects is not None:
            self.suspects.record_end(job.request, server.name)
        with self._changed:
            self.health.record_end(server.name)
            if answered:
                self.health.record_response(server.name)
            self.placement.record_end(job.request.request_id, self.clock())
            self._changed.notify()

    def back_off_server(self, job: Job, wait_s: float) -> None:
        """Send the job's server no new requests for a while."""
        with self._changed:
            self.health.back_off(job.server.name, wait_s, self.clock())

    def cancel(self, job: Job) -> None:
        """Cancel a model request at its engine in the background."""
        server = job.server
        if job.request.call is None or server is None:
            return
        self.background.cancel(server.address, job.request.request_id)

    def record_first_byte(self, job: Job) -> None:
        """Record with the placement policy that prefill has finished."""
        with self._changed:
            self.placement.record_first_token(job.request.request_id, self.clock())

    def record_outcome(self, job: Job, outcome: Outcome) -> None:
        """Report the outcome on a background thread."""
        self.background.report_outcome(job.request, job.on_finished, outcome)

    def record_caller_left(self, job: Job) -> None:
        """Record that the caller disconnected before its response was complete."""
        self.journal.record(Event.CALLER_LEFT, self._subject(job))

    def remove_job(self, job: Job) -> None:
        """Remove a finalized job whose caller's connection is closed."""
        self.relay.remove(job)
        with self._changed:
            self.jobs.discard(job)
            self._changed.notify_all()

    def record_fault(self, error: BaseException | None) -> None:
        """Record an unexpected error."""
        self.journal.record(Event.BACKGROUND_TASK_FAILED, error=type(error).__name__)

    # Dispatch threads.

    def _dispatch(self):
        while True:
            try:
                with self._changed:
                    job = self._next_job()
            except Exception as error:
                # The job stays in the queue and is refused at its deadline.
                self.record_fault(error)
                time.sleep(QUEUE_CHECK_INTERVAL_S)
                continue
            if job is None:
                return
            self._send(job)

    def _next_job(self):
        """Wait for a job that can be sent now; return None when stopping."""
        while self.running:
            now = self.clock()
            for expired, refusal in self.waiting.expire(now):
                self.relay.refuse(expired, refusal)
            job = self.waiting.take(now)
            if job is not None:
                return job
            for waiting in self.waiting.unwatched():
                self.relay.watch(waiting)
            self._changed.wait(QUEUE_CHECK_INTERVAL_S if self.waiting else None)
        return None

    def _send(self, job):
        """Send a job's request; the event loop handles the response."""
        if job.abandoned:
            self.relay.drop(job)
            return
        if self.clock() > job.request.start_by:
            self.relay.attempt_failed(job, Failure.START_DEADLINE_PASSED)
            return
        # An identical request may have crashed servers while this one was queued.
        refusal = self._refuse_suspect(job.request)
        if refusal is not None:
            self.relay.end(job, refusal)
            return
        self.journal.record(Event.REQUEST_PLACED, self._subject(job))
        try:
            sock = send_request(
                job.server.address,
                upstream_for_server(job, self.versions),
                job.resume_at,
                self.settings.connect_timeout_s,
                self.settings.silence_timeout_s,
            )
        except ForwardError as error:
            self.relay.attempt_failed(job, error.failure)
        except Exception as error:
            self.record_fault(error)
            self.relay.attempt_failed(job, Failure.SEND_FAILED)
        else:
            self.relay.attach(job, sock)

    def _abort_jobs(self, timeout_s):
        with self._changed:
            jobs = tuple(self.jobs)
        return self.relay.abort(jobs, timeout_s)

    # Refusals.

    def _refuse_suspect(self, request):
        return self.suspects.refusal(request) if self.suspects else None

    def _subject(self, job):
        return Subject(
            request_id=job.request.request_id,
            customer=job.request.customer_name,
            server=job.server.name if job.server else "",
        )


def create_dispatcher(
    settings: LimitSettings,
    configuration: Callable[[], Configuration],
    placement: PlacementPolicy,
    journal: Journal,
    rng: random.Random,
    credential: str = "",
    suspects: SuspectPolicy | None = None,
    clock: Callable[[], float] = time.monotonic,
    queue: RequestQueue | None = None,
    versions: ServedVersions | None = None,
) -> Dispatcher:
    """Return a dispatcher, not yet started.

    `configuration` returns the current configuration, and `credential` is the
    bearer token that is sent to backend servers. `queue` orders the waiting
    requests, by arrival if none is given. `versions` reports which engines serve
    a model; without it, all of the model's engines are assumed to.
    """
    if queue is None:
        queue = FifoQueue(settings.queue_length, settings.queue_wait_s)
    return Dispatcher(
        settings,
        configuration,
        placement,
        journal,
        rng,
        credential,
        suspects,
        clock,
        queue,
        versions,
    )
