"""One request in the event loop: its caller, its attempts, its end."""

import asyncio
import socket

import httptools

from cassiaford._event_splitter import EventStreamError
from cassiaford.pipeline._answer_connection import AnswerConnection, AttemptListener
from cassiaford.pipeline._answers import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    refusal_body,
    refusal_response,
)
from cassiaford.pipeline._body import (
    BodilessRelay,
    BodyRelay,
    EventStreamRelay,
    create_body,
)
from cassiaford.pipeline._caller import CallerConnection, CallerListener
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._limits import ExchangeLimits
from cassiaford.pipeline._messages import Header, Outcome
from cassiaford.pipeline._owner import ExchangeOwner
from cassiaford.pipeline._recovery import can_replay, can_resume
from cassiaford.pipeline._refusals import failure_refusal, stopping_refusal
from cassiaford.pipeline._response import AnswerHead
from cassiaford.pipeline._sockets import connect_socket
from cassiaford.pipeline._statuses import (
    answer_verdict,
    refused_attempt,
    retry_after,
    wrong_request,
)
from cassiaford.policy import Failure, RetryDecision
from cassiaford.verdict import Refusal, Verdict, combine


class Exchange(AttemptListener, CallerListener):
    """Carries one job from its submission to its end; runs in the event loop."""

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
        self.connection: AnswerConnection | None = None
        self.body: BodyRelay | None = None
        self.status = 0
        self.first_token_s = None
        self.settled = False
        self.closed = False
        self.settled_at = 0.0
        self.waiting = []
        self.tasks = set()

    # Entry points, each called in the loop on behalf of another thread.

    def open(self) -> None:
        """Begin to watch the caller."""
        self._adopt(
            self.job.caller, self.caller, self._run_waiting, self._caller_unusable
        )

    def attach(self, sock: socket.socket) -> None:
        """Take the connection on which the current attempt was sent.

        The loop sets up connections in the order in which it got them, so the
        caller's is there before the first byte of an answer.
        """
        if self.job.abandoned:
            sock.close()
            self.owner.cancel(self.job)
            self._leave()
            return
        method = self.job.upstream.method
        self.connection = AnswerConnection(self, method, self.owner.clock)
        self._adopt(sock, self.connection, self._server_ready, self._server_unusable)

    def watch(self) -> None:
        """Do nothing more than `open`: the caller is watched from then on."""

    def when_open(self, method: str, *arguments: object) -> None:
        """Call a method as soon as the caller's connection is set up."""
        if self.caller.transport is not None or self.closed:
            getattr(self, method)(*arguments)
        else:
            self.waiting.append((method, arguments))

    def drop(self) -> None:
        """End a job that was not sent because its caller had left."""
        self._leave()

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal and end."""
        if self.caller.finished:
            self._leave()
            return
        self.status = refusal.reason.status
        response = refusal_response(refusal, self.job.request.request_id)
        self.caller.write_raw(response)
        self.caller.cut()
        self._settle(refusal.verdict, refusal)

    def cut(self) -> bool:
        """End at once because the process stops; return whether that cut it."""
        if self.settled:
            unread = self.caller.unread_bytes
            self.caller.abort()
            return unread > 0
        self._drop_connection(cancel=True)
        verdict = combine([*self.job.verdicts, self._current_verdict()])
        self.job.abandoned = True
        self.when_open("end_with", stopping_refusal(verdict))
        return True

    def sweep(self, now: float) -> None:
        """Check the time limits."""
        if self.settled:
            if now - self.settled_at > self.limits.flush_timeout_s:
                self.caller.abort()
            return
        if now >= self.job.give_up_at:
            self._time_out()
        elif self.connection is not None and not self.connection.paused:
            self._check_silence(now)

    # What the caller does.

    def caller_left(self) -> None:
        """Stop the work that nobody waits for."""
        self.job.abandoned = True
        self.owner.caller_left(self.job)
        if self.connection is not None:
            self._drop_connection(cancel=True)
            self._leave()

    def caller_closed(self) -> None:
        """Forget the exchange once it has settled."""
        self.closed = True
        self._run_waiting()
        if self.settled:
            self.owner.over(self.job)

    def caller_slow(self, slow: bool) -> None:
        """Read from the server no faster than the caller does."""
        if self.connection is not None:
            self.connection.pause(slow)

    # What the backend server does.

    def answer_head(self, head: AnswerHead) -> None:
        """Judge the head: a refusal, a wrong answer, or one to pass on."""
        if wrong_request(head, self.job.request.request_id):
            self.attempt_failed(Failure.MISMATCHED_RESPONSE)
            return
        self.job.server_echoes_id |= bool(head.header("x-request-id"))
        failure = refused_attempt(head, self._continues())
        if failure is None or self._passes_on(failure):
            self._begin_answer(head)
        else:
            self.attempt_failed(failure, retry_after(head))

    def answer_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        received = self.job.progress.received
        failure = self.body.feed(data)
        if self.job.progress.received > received:
            self.job.resumes = 0
        if failure is not None:
            self.attempt_failed(failure)

    def answer_end(self) -> None:
        """Settle a complete answer."""
        failure = self.body.end()
        if failure is not None:
            self.attempt_failed(failure)
            return
        self._complete()

    def attempt_failed(
        self, failure: Failure, retry_after_s: float | None = None
    ) -> None:
        """Resume, retry elsewhere, or tell the caller."""
        if self.connection is not None and self._only_framing_missing(failure):
            self._complete_without_framing()
            return
        resumes = not self.job.abandoned and can_resume(self.job, self.body, failure)
        leaves_work = failure.verdict is Verdict.MAY_HAVE_RUN and not resumes
        self._drop_connection(cancel=leaves_work)
        self.job.failed(failure)
        self.owner.server_failed(self.job, failure)
        if retry_after_s is not None and failure is not Failure.OVERLOADED:
            self.owner.hold_server(self.job, retry_after_s)
        if self.job.abandoned:
            self._leave()
        elif resumes:
            self._resume()
        else:
            self._go_elsewhere(failure, retry_after_s)

    def parse_failed(self, error: httptools.HttpParserError) -> None:
        """Report an error of our own that came out of the parser's callback."""
        cause = error.__context__
        if cause is not None and not isinstance(cause, EventStreamError):
            self.owner.fault(cause)

    # Recovery.

    def _resume(self):
        self.job.resumes += 1
        self.job.resume_at = self.job.progress.received
        self.body = None
        self._requeue()

    def _go_elsewhere(self, failure, retry_after_s):
        decision = None
        if not failure.is_final and can_replay(
            self.job, self.body, self.caller.started
        ):
            decision = self.owner.decide_retry(self.job)
        if decision is RetryDecision.RETRY:
            self.owner.server_left(self.job, answered=False)
            self.job.leave_server()
            self.body = None
            self._requeue()
        else:
            self.end_with(failure_refusal(self.job, failure, retry_after_s))

    def _requeue(self):
        refusal = self.owner.requeue(self.job)
        if refusal is not None:
            self.end_with(refusal)

    def end_with(self, refusal: Refusal) -> None:
        """Refuse, or break a begun answer off so that the caller sees it."""
        if not self.caller.started:
            self.refuse(refusal)
            return
        if self.job.upstream.streaming and self.caller.chunked:
            error = refusal_body(refusal, self.job.request.request_id)
            self.caller.write(b"data: " + error + b"\n\n")
        self.caller.cut()
        self._settle(refusal.verdict, refusal)

    def _time_out(self):
        if self.connection is not None:
            self.attempt_failed(Failure.REQUEST_TIMEOUT)

    def _check_silence(self, now):
        connection = self.connection
        if not connection.has_body:
            if now - connection.sent_at > self.limits.first_byte_s(self.job.request):
                self.attempt_failed(Failure.FIRST_BYTE_TIMEOUT)
        elif now - connection.last_byte_at > self.limits.silence_timeout_s:
            self.attempt_failed(Failure.IDLE_TIMEOUT)

    # The answer.

    def _continues(self):
        """Return whether this attempt goes on with an earlier one's stream."""
        return self.job.progress.received > 0 or self.job.resume_at is not None

    def _passes_on(self, failure):
        """Return whether a 503 goes to the caller because no retry is possible."""
        if failure is not Failure.OVERLOADED or self._continues():
            return False
        job = self.job
        return not failure.verdict.may_retry(job.request.repeatable)

    def _begin_answer(self, head):
        self.status = head.status
        self.body = create_body(self.job, self.caller, self._begin, head)
        if self.body is None:
            self.attempt_failed(Failure.DIVERGED)

    def _begin(self, length):
        """Return the head that the caller gets."""
        head = self.connection.head
        now = self.owner.clock()
        self.first_token_s = now - self.job.request.authenticated.caller.received_at
        self.owner.first_byte(self.job)
        headers = (
            *head.passed_headers(),
            Header(REQUEST_ID_HEADER, self.job.request.request_id),
        )
        verdict = answer_verdict(head)
        if verdict is not Verdict.RAN:
            headers = (*headers, Header(VERDICT_HEADER, verdict.value))
        has_body = not isinstance(self.body, BodilessRelay)
        return self.caller.start(head.status, headers, length, has_body)

    def _only_framing_missing(self, failure):
        """Return whether the stream had said that it was done."""
        started = isinstance(self.body, EventStreamRelay)
        return started and self.job.progress.done and not failure.is_final

    def _complete_without_framing(self):
        if self.body.end() is None:
            self._complete()

    def _complete(self):
        head = self.connection.head
        self._drop_connection(cancel=False)
        verdict = answer_verdict(head)
        if self.job.progress.failed:
            verdict = Verdict.MAY_HAVE_RUN
        self.owner.server_left(self.job, answered=True)
        self.job.server = None
        self._settle(verdict, None, head.header("content-type"))

    # The end.

    def _leave(self):
        """Settle a job whose caller has gone."""
        verdict = combine([*self.job.verdicts, self._current_verdict()])
        self._settle(verdict, None)

    def _current_verdict(self):
        return Verdict.MAY_HAVE_RUN if self.job.server else Verdict.NOT_RUN

    def _settle(self, verdict, refusal, content_type=""):
        if self.settled:
            return
        self.settled = True
        self.settled_at = self.owner.clock()
        if self.job.server is not None:
            self.owner.server_left(self.job, answered=False)
            self.job.server = None
        self._note_gap()
        usage = self.body.usage if self.body else None
        outcome = Outcome(
            verdict=verdict,
            status=self.status if self.caller.started or refusal else 0,
            servers=tuple(self.job.servers),
            usage=usage or self.job.progress.usage,
            refusal=refusal,
            first_token_s=self.first_token_s,
            timings=self.job.timings,
            body=self.job.copy.content,
            content_type=content_type,
        )
        self.owner.settled(self.job, outcome)
        if self.closed:
            self.owner.over(self.job)

    def _note_gap(self):
        if self.connection is not None and self.connection.longest_gap_s:
            self.job.paused_for(self.connection.longest_gap_s)

    def _drop_connection(self, cancel):
        if self.connection is None:
            return
        self._note_gap()
        self.connection.close()
        self.connection = None
        if cancel:
            self.owner.cancel(self.job)

    # Sockets.

    def _adopt(self, sock, protocol, ready, failed):
        """Give a connected socket to the loop."""
        task = self.loop.create_task(
            connect_socket(self.loop, sock, protocol, ready, failed)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _server_ready(self):
        # The caller may have been slow before this connection was there.
        if self.connection is not None:
            self.connection.pause(self.caller.slow)

    def _caller_unusable(self):
        self.caller.finished = True
        self.job.abandoned = True
        self.caller_closed()

    def _server_unusable(self):
        if self.connection is not None:
            self.attempt_failed(Failure.RESET_BEFORE_RESPONSE)

    def _run_waiting(self):
        waiting, self.waiting = self.waiting, []
        for method, arguments in waiting:
            getattr(self, method)(*arguments)
