"""A request under way: what has been tried and what the caller has got."""

import socket
from collections.abc import Callable
from dataclasses import replace

from cassiaford.config import BackendServer
from cassiaford.pipeline._messages import AdmittedRequest, Outcome, Timings, Usage
from cassiaford.pipeline._upstream import UpstreamRequest
from cassiaford.policy import (
    BrokenStream,
    FailedRequest,
    Failure,
    PlacementRequest,
    Ticket,
    indicates_crash,
)
from cassiaford.verdict import Verdict, combine

# Events kept to compare a second run with the first; a stream that has sent
# more cannot go on at another engine.
MAX_HISTORY_BYTES = 256 * 1024
# The longest answer that is kept for the record of a request that runs once.
MAX_COPY_BYTES = 256 * 1024


class StreamProgress:
    """The events that a stream has brought so far, over all its connections."""

    def __init__(self, keep_history: bool):
        self.received = 0
        self.history = [] if keep_history else None
        self.history_bytes = 0
        self.usage: Usage | None = None
        self.finished = False
        self.done = False
        self.failed = False

    def add(self, event: bytes) -> None:
        """Count an event, and keep it while the history is short enough."""
        self.received += 1
        if self.history is None:
            return
        self.history_bytes += len(event)
        if self.history_bytes > MAX_HISTORY_BYTES:
            self.history = None
        else:
            self.history.append(event)

    @property
    def complete(self) -> bool:
        """Whether the stream has said by itself that it is at its end."""
        return self.done or self.finished or self.failed


class AnswerCopy:
    """What the caller got, for the record of a request that runs once.

    `content` is empty if the answer is longer than a record may be.
    """

    def __init__(self, keeps: bool):
        self.keeps = keeps
        self.parts = []
        self.size = 0

    def add(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.size += len(data)
        if self.size > MAX_COPY_BYTES:
            self.keeps = False
            self.parts.clear()
        else:
            self.parts.append(data)

    @property
    def content(self) -> bytes:
        """The whole body."""
        return b"".join(self.parts)


class Job:
    """A submitted request; one thread has it at a time."""

    def __init__(
        self,
        request: AdmittedRequest,
        upstream: UpstreamRequest,
        caller: socket.socket,
        on_settled: Callable[[AdmittedRequest, Outcome], None],
        give_up_at: float,
    ):
        self.request = request
        self.upstream = upstream
        self.caller = caller
        self.on_settled = on_settled
        self.give_up_at = give_up_at
        self.deadline = request.deadline
        self.server: BackendServer | None = None
        self.servers = []
        self.excluded = set()
        self.timings = Timings()
        self.verdicts = []
        self.attempts = 0
        self.resumes = 0
        self.resume_at: int | None = None
        self.server_echoes_id = False
        self.last_failure: Failure | None = None
        self.opened = False
        self.abandoned = False
        self.copy = AnswerCopy(keeps=not request.repeatable)
        deterministic = upstream.streaming and _is_deterministic(request)
        self.progress = StreamProgress(request.repeatable and deterministic)

    @property
    def verdict(self) -> Verdict:
        """The verdict on all attempts so far."""
        return combine(self.verdicts)

    def sent_to(self, server: BackendServer) -> None:
        """Take note that an attempt begins."""
        self.server = server
        self.attempts += 1
        if not self.servers or self.servers[-1] != server.name:
            self.servers.append(server.name)

    def waited(self, queue_wait_s: float, decision_s: float) -> None:
        """Take note of how long the first choice of a server took to come."""
        self.timings = replace(
            self.timings, queue_wait_s=queue_wait_s, decision_s=decision_s
        )

    def paused_for(self, gap_s: float) -> None:
        """Take note of the longest gap in one attempt's answer."""
        longest_s = max(gap_s, self.timings.longest_gap_s or 0.0)
        self.timings = replace(self.timings, longest_gap_s=longest_s)

    def failed(self, failure: Failure) -> None:
        """Take note of a failed attempt."""
        self.verdicts.append(failure.verdict)
        self.last_failure = failure

    def leave_server(self) -> None:
        """Choose another server for what follows."""
        if self.server is not None:
            self.excluded.add(self.server.name)
        self.server = None
        self.resume_at = None
        self.resumes = 0
        self.server_echoes_id = False

    def tells_of_crash(self, failure: Failure) -> bool:
        """Return whether a failure looks like the crash of the job's server."""
        resuming = self.resume_at is not None
        return indicates_crash(failure, resuming, self.progress.received > 0)

    def after_failure(self) -> FailedRequest:
        """Return what the decision on a retry needs."""
        return FailedRequest(
            verdict=self.verdict,
            repeatable=self.request.repeatable,
            attempts=self.attempts,
            deadline=self.give_up_at,
        )

    def broken_stream(self) -> BrokenStream:
        """Return what the decision on a resumption needs."""
        return BrokenStream(
            streaming=self.upstream.streaming,
            repeatable=self.request.repeatable,
            known_to_server=self.server_echoes_id,
            complete=self.progress.complete,
            fruitless_resumes=self.resumes,
        )

    def ticket(self) -> Ticket:
        """Return the place in the queue that the request asks for."""
        return Ticket(
            request_id=self.request.request_id,
            customer=self.request.customer_name,
            service_class=self.request.service_class.value,
            tokens=self.request.charged_tokens,
            deadline=self.deadline,
        )

    def placement_request(self) -> PlacementRequest:
        """Return what placement is told."""
        call = self.request.call
        return PlacementRequest(
            request_id=self.request.request_id,
            prompt_tokens=call.prompt_tokens if call else 0,
            max_output=call.max_output if call else 0,
            chain=call.chain if call else (),
            excluded=frozenset(self.excluded),
        )


def _is_deterministic(request):
    """Return whether a second run may well bring the same events."""
    body = request.call.body
    return body.get("temperature") == 0 or body.get("seed") is not None
