"""The handling of one request in the event loop, over all its attempts."""

import asyncio
import socket

import httptools

from cassiaford._event_splitter import EventStreamError
from cassiaford.pipeline._body import (
    BodilessRelay,
    BodyRelay,
    EventStreamRelay,
    create_body_relay,
)
from cassiaford.pipeline._caller import CallerConnection, CallerListener
from cassiaford.pipeline._http_responses import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    refusal_body,
    refusal_response,
)
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._limits import ExchangeLimits
from cassiaford.pipeline._messages import Header, Outcome
from cassiaford.pipeline._owner import ExchangeOwner
from cassiaford.pipeline._recovery import can_replay, can_resume
from cassiaford.pipeline._refusals import failure_refusal, stopping_refusal
from cassiaford.pipeline._response import ResponseHead
from cassiaford.pipeline._response_connection import AttemptListener, ResponseConnection
from cassiaford.pipeline._sockets import connect_socket
from cassiaford.pipeline._statuses import (
    is_mismatched,
    response_failure,
    response_verdict,
    retry_after,
)
from cassiaford.policy import Failure, RetryDecision
from cassiaford.verdict import Refusal, Verdict, combine


class Exchange(AttemptListener, CallerListener):
    """Handles one job from submission to completion; runs in the event loop."""

    def __init__(
        self,
        job: Job,
        owner: ExchangeOwner,
        loop: asyncio.AbstractEventLoop,
        limits: ExchangeLimits,
    ):
        self.job = job
        self.owner = owner
        self.loop = loop
        self.limits = limits
        self.caller = CallerConnection(self)
        self.connection: ResponseConnection | None = None
        self.body: BodyRelay | None = None
        self.status = 0
        self.first_token_s = None
        self.finalized = False
        self.closed = False
        self.finalized_at = 0.0
        self.pending_calls = []
        self.tasks = set()

    # Entry points, called in the event loop on behalf of other threads.

    def open(self) -> None:
        """Attach the caller's socket to the event loop."""
        self._add_socket(
            self.job.caller, self.caller, self._run_pending_calls, self._caller_failed
        )

    def attach(self, sock: socket.socket) -> None:
        """Attach the connection on which the current attempt was sent.

        The loop sets up connections in the order of their creation, so the
        caller's is ready before the first byte of a response arrives.
        """
        if self.job.abandoned:
            sock.close()
            self.owner.cancel(self.job)
            self._finalize_abandoned()
            return
        method = self.job.upstream.method
        self.connection = ResponseConnection(self, method, self.owner.clock)
        self._add_socket(
            sock, self.connection, self._server_connected, self._server_failed
        )

    def watch(self) -> None:
        """Do nothing: `open`, called before, detects that the caller disconnects."""

    def when_open(self, method: str, *arguments: object) -> None:
        """Call a method once the caller's connection is set up."""
        if self.caller.transport is not None or self.closed:
            getattr(self, method)(*arguments)
        else:
            self.pending_calls.append((method, arguments))

    def drop(self) -> None:
        """Finalize a job that was not sent because its caller disconnected."""
        self._finalize_abandoned()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal and finalize the job."""
        if self.caller.finished:
            self._finalize_abandoned()
            return
        self.status = refusal.reason.status
        response = refusal_response(refusal, self.job.request.request_id)
        self.caller.write_raw(response)
        self.caller.close()
        self._finalize(refusal.verdict, refusal)

    def abort(self) -> bool:
        """Abort because the process stops; return whether the response was cut off."""
        if self.finalized:
            unsent = self.caller.unsent_bytes
            self.caller.abort()
            return unsent > 0
        self._drop_connection(cancel=True)
        verdict = combine([*self.job.verdicts, self._current_verdict()])
        self.job.abandoned = True
        self.when_open("end_with", stopping_refusal(verdict))
        return True

    def check_timeouts(self, now: float) -> None:
        """Abort or fail whatever has exceeded its time limit."""
        if self.finalized:
            if now - self.finalized_at > self.limits.flush_timeout_s:
                self.caller.abort()
            return
        if now >= self.job.request_deadline:
            self._fail_on_timeout()
        elif self.connection is not None and not self.connection.paused:
            self._check_idle_timeout(now)

    # Events of the caller's connection.

    def on_caller_left(self) -> None:
        """Cancel the current attempt, whose response nobody waits for."""
        self.job.abandoned = True
        self.owner.record_caller_left(self.job)
        if self.connection is not None:
            self._drop_connection(cancel=True)
            self._finalize_abandoned()

    def on_caller_closed(self) -> None:
        """Remove the job if it has been finalized."""
        self.closed = True
        self._run_pending_calls()
        if self.finalized:
            self.owner.remove_job(self.job)

    def on_caller_slow(self, slow: bool) -> None:
        """Pause reading from the server while the caller's buffer is full."""
        if self.connection is not None:
            self.connection.pause(slow)

    # Events of the backend server's connection.

    def on_response_head(self, head: ResponseHead) -> None:
        """Start relaying the response, or fail the attempt if the head says so."""
        if is_mismatched(head, self.job.request.request_id):
            self.attempt_failed(Failure.MISMATCHED_RESPONSE)
            return
        self.job.server_echoes_id |= bool(head.header("x-request-id"))
        failure = response_failure(head, self._continues_stream())
        if failure is None or self._relays_failure(failure):
            self._start_relay(head)
        else:
            self.attempt_failed(failure, retry_after(head))

    def on_response_body(self, data: bytes) -> None:
        """Relay a part of the body."""
        received = self.job.progress.received
        failure = self.body.feed(data)
        if self.job.progress.received > received:
            self.job.record_event()
        if failure is not None:
            self.attempt_failed(failure)

    def on_response_end(self) -> None:
        """Complete the response."""
        failure = self.body.end()
        if failure is not None:
            self.attempt_failed(failure)
            return
        self._complete()

    def attempt_failed(
        self, failure: Failure, retry_after_s: float | None = None
    ) -> None:
        """Resume the stream, retry at another server, or refuse the request."""
        if self.connection is not None and self._only_framing_missing(failure):
            self._complete_without_framing()
            return
        resumes = not self.job.abandoned and can_resume(self.job, self.body, failure)
        may_still_run = failure.verdict is Verdict.MAY_HAVE_RUN and not resumes
        self._drop_connection(cancel=may_still_run)
        self.job.record_failure(failure)
        self.owner.record_server_failure(self.job, failure)
        if retry_after_s is not None and failure is not Failure.OVERLOADED:
            self.owner.back_off_server(self.job, retry_after_s)
        if self.job.abandoned:
            self._finalize_abandoned()
        elif resumes:
            self._resume()
        else:
            self._retry_or_refuse(failure, retry_after_s)

    def on_parse_error(self, error: httptools.HttpParserError) -> None:
        """Record an unexpected exception that a callback of the parser raised."""
        cause = error.__context__
        if cause is not None and not isinstance(cause, EventStreamError):
            self.owner.record_fault(cause)

    # Recovery.

    def _resume(self):
        self.job.resumes += 1
        self.job.resume_at = self.job.progress.received
        self.body = None
        self._requeue()

    def _retry_or_refuse(self, failure, retry_after_s):
        decision = None
        if not failure.is_final and can_replay(
            self.job, self.body, self.caller.response_started
        ):
            decision = self.owner.decide_retry(self.job)
        if decision is RetryDecision.RETRY:
            self.owner.release_server(self.job, answered=False)
            self.job.exclude_server()
            self.body = None
            self._requeue()
        else:
            self.end_with(failure_refusal(self.job, failure, retry_after_s))

    def _requeue(self):
        refusal = self.owner.requeue(self.job)
        if refusal is not None:
            self.end_with(refusal)

    def end_with(self, refusal: Refusal) -> None:
        """Refuse, or truncate a started response so that the caller detects it."""
        if not self.caller.response_started:
            self.refuse(refusal)
            return
        if self.job.upstream.streaming and self.caller.chunked:
            error = refusal_body(refusal, self.job.request.request_id)
            self.caller.write(b"data: " + error + b"\n\n")
        self.caller.close()
        self._finalize(refusal.verdict, refusal)

    def _fail_on_timeout(self):
        if self.connection is not None:
            self.attempt_failed(Failure.REQUEST_TIMEOUT)

    def _check_idle_timeout(self, now):
        connection = self.connection
        if not connection.has_body:
            if now - connection.sent_at > self.limits.first_byte_s(self.job.request):
                self.attempt_failed(Failure.FIRST_BYTE_TIMEOUT)
        elif now - connection.last_byte_at > self.limits.silence_timeout_s:
            self.attempt_failed(Failure.IDLE_TIMEOUT)

    # The response.

    def _continues_stream(self):
        """Return whether this attempt continues the stream of an earlier one."""
        return self.job.progress.received > 0 or self.job.resume_at is not None

    def _relays_failure(self, failure):
        """Return whether a 503 is relayed because the request must not be retried."""
        if failure is not Failure.OVERLOADED or self._continues_stream():
            return False
        job = self.job
        return not failure.verdict.may_retry(job.request.repeatable)

    def _start_relay(self, head):
        self.status = head.status
        self.body = create_body_relay(self.job, self.caller, self._start_response, head)
        if self.body is None or (
            self.body.replays and not self.owner.may_continue(self.job)
        ):
            self.attempt_failed(Failure.DIVERGED)

    def _start_response(self, length):
        """Return the response head for the caller."""
        head = self.connection.head
        now = self.owner.clock()
        self.first_token_s = now - self.job.request.authenticated.caller.received_at
        self.owner.record_first_byte(self.job)
        headers = (
            *head.forwarded_headers(),
            Header(REQUEST_ID_HEADER, self.job.request.request_id),
        )
        verdict = response_verdict(head)
        if verdict is not Verdict.RAN:
            headers = (*headers, Header(VERDICT_HEADER, verdict.value))
        has_body = not isinstance(self.body, BodilessRelay)
        return self.caller.start_response(head.status, headers, length, has_body)

    def _only_framing_missing(self, failure):
        """Return whether the stream sent its last event but no final chunk."""
        is_stream = isinstance(self.body, EventStreamRelay)
        return is_stream and self.job.progress.done and not failure.is_final

    def _complete_without_framing(self):
        if self.body.end() is None:
            self._complete()

    def _complete(self):
        head = self.connection.head
        self._drop_connection(cancel=False)
        verdict = response_verdict(head)
        if self.job.progress.failed:
            verdict = Verdict.MAY_HAVE_RUN
        self.owner.release_server(self.job, answered=True)
        self.job.server = None
        self._finalize(verdict, None, head.header("content-type"))

    # Completion.

    def _finalize_abandoned(self):
        """Finalize a job whose caller has disconnected."""
        verdict = combine([*self.job.verdicts, self._current_verdict()])
        self._finalize(verdict, None)

    def _current_verdict(self):
        return Verdict.MAY_HAVE_RUN if self.job.server else Verdict.NOT_RUN

    def _finalize(self, verdict, refusal, content_type=""):
        if self.finalized:
            return
        self.finalized = True
        self.finalized_at = self.owner.clock()
        if self.job.server is not None:
            self.owner.release_server(self.job, answered=False)
            self.job.server = None
        self._record_gap()
        usage = self.body.usage if self.body else None
        outcome = Outcome(
            verdict=verdict,
            status=self.status if self.caller.response_started or refusal else 0,
            servers=tuple(self.job.servers),
            usage=usage or self.job.progress.usage,
            refusal=refusal,
            first_token_s=self.first_token_s,
            timings=self.job.timings,
            body=self.job.response_copy.content,
            content_type=content_type,
        )
        self.owner.record_outcome(self.job, outcome)
        if self.closed:
            self.owner.remove_job(self.job)

    def _record_gap(self):
        if self.connection is not None and self.connection.longest_gap_s:
            self.job.record_gap(self.connection.longest_gap_s)

    def _drop_connection(self, cancel):
        if self.connection is None:
            return
        self._record_gap()
        self.connection.close()
        self.connection = None
        if cancel:
            self.owner.cancel(self.job)

    # Sockets.

    def _add_socket(self, sock, protocol, on_ready, on_failed):
        """Attach a connected socket to the event loop."""
        task = self.loop.create_task(
            connect_socket(self.loop, sock, protocol, on_ready, on_failed)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _server_connected(self):
        # The caller's buffer may have filled before this connection was set up.
        if self.connection is not None:
            self.connection.pause(self.caller.write_paused)

    def _caller_failed(self):
        self.caller.finished = True
        self.job.abandoned = True
        self.on_caller_closed()

    def _server_failed(self):
        if self.connection is not None:
            self.attempt_failed(Failure.RESET_BEFORE_RESPONSE)

    def _run_pending_calls(self):
        calls, self.pending_calls = self.pending_calls, []
        for method, arguments in calls:
            getattr(self, method)(*arguments)
