"""The state of a request in progress: its attempts and its response so far."""

import socket
from collections.abc import Callable
from dataclasses import replace

from cassiaford.config import BackendServer
from cassiaford.origins import StreamOrigin, may_continue, origin_of
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

# Events up to this total size are kept, to compare a second run with the first.
# A longer stream cannot be continued at another engine.
MAX_HISTORY_BYTES = 256 * 1024
# The longest response that is stored with the claim of a non-repeatable request.
MAX_COPY_BYTES = 256 * 1024


class StreamProgress:
    """The events received from a stream so far, over all its connections."""

    def __init__(self, keep_history: bool):
        self.received = 0
        self.history = [] if keep_history else None
        self.history_bytes = 0
        self.usage: Usage | None = None
        self.finished = False
        self.done = False
        self.failed = False

    def add(self, event: bytes) -> None:
        """Count an event, and keep it while the history is below its size limit."""
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
        """Whether the stream has sent an event that marks its end."""
        return self.done or self.finished or self.failed


class ResponseCopy:
    """A copy of the response, stored with the claim of a non-repeatable request.

    `content` is empty if the response exceeds `MAX_COPY_BYTES`.
    """

    def __init__(self, enabled: bool):
        self.enabled = enabled
        self.parts = []
        self.size = 0

    def add(self, data: bytes) -> None:
        """Add a part of the body."""
        self.size += len(data)
        if self.size > MAX_COPY_BYTES:
            self.enabled = False
            self.parts.clear()
        else:
            self.parts.append(data)

    @property
    def content(self) -> bytes:
        """The complete body."""
        return b"".join(self.parts)


class Job:
    """A submitted request; only one thread works on it at a time."""

    def __init__(
        self,
        request: AdmittedRequest,
        upstream: UpstreamRequest,
        caller: socket.socket,
        on_finished: Callable[[AdmittedRequest, Outcome], None],
        request_deadline: float,
    ):
        self.request = request
        self.upstream = upstream
        self.caller = caller
        self.on_finished = on_finished
        self.request_deadline = request_deadline
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
        self.has_exchange = False
        self.abandoned = False
        self.origin: StreamOrigin | None = None
        self.response_copy = ResponseCopy(enabled=not request.repeatable)
        deterministic = upstream.streaming and _is_deterministic(request)
        self.progress = StreamProgress(request.repeatable and deterministic)

    @property
    def verdict(self) -> Verdict:
        """The combined verdict of all attempts so far."""
        return combine(self.verdicts)

    def record_attempt(self, server: BackendServer) -> None:
        """Record the start of an attempt."""
        self.server = server
        self.attempts += 1
        if not self.servers or self.servers[-1] != server.name:
            self.servers.append(server.name)

    def record_event(self) -> None:
        """Record that an event has arrived; the first one settles the origin."""
        self.resumes = 0
        if self.origin is None:
            model = self.request.call.model.name
            self.origin = origin_of(model, self.server.software_version)

    def may_continue_at(self, server: BackendServer) -> bool:
        """Return whether a server may run the job, given the events sent so far."""
        if self.progress.received == 0:
            return True
        model = self.request.call.model.name
        return may_continue(self.origin, model, server.software_version)

    def record_placement(self, queue_wait_s: float, placement_s: float) -> None:
        """Record how long the request was queued, and how long placing it took."""
        self.timings = replace(
            self.timings, queue_wait_s=queue_wait_s, placement_s=placement_s
        )

    def record_gap(self, gap_s: float) -> None:
        """Record the longest gap in the response to one attempt."""
        longest_s = max(gap_s, self.timings.longest_gap_s or 0.0)
        self.timings = replace(self.timings, longest_gap_s=longest_s)

    def record_failure(self, failure: Failure) -> None:
        """Record a failed attempt."""
        self.verdicts.append(failure.verdict)
        self.last_failure = failure

    def exclude_server(self) -> None:
        """Exclude the current server from further attempts."""
        if self.server is not None:
            self.excluded.add(self.server.name)
        self.server = None
        self.resume_at = None
        self.resumes = 0
        self.server_echoes_id = False

    def indicates_crash(self, failure: Failure) -> bool:
        """Return whether a failure indicates that the job's server crashed."""
        resuming = self.resume_at is not None
        return indicates_crash(failure, resuming, self.progress.received > 0)

    def failed_request(self) -> FailedRequest:
        """Return the input for the decision on a retry."""
        return FailedRequest(
            verdict=self.verdict,
            repeatable=self.request.repeatable,
            attempts=self.attempts,
            deadline=self.request_deadline,
        )

    def broken_stream(self) -> BrokenStream:
        """Return the input for the decision on a resumption."""
        return BrokenStream(
            streaming=self.upstream.streaming,
            repeatable=self.request.repeatable,
            known_to_server=self.server_echoes_id,
            complete=self.progress.complete,
            fruitless_resumes=self.resumes,
        )

    def ticket(self) -> Ticket:
        """Return the ticket by which the request is queued."""
        return Ticket(
            request_id=self.request.request_id,
            customer=self.request.customer_name,
            service_class=self.request.service_class.value,
            tokens=self.request.charged_tokens,
            deadline=self.deadline,
        )

    def placement_request(self) -> PlacementRequest:
        """Return the input for the placement policy."""
        call = self.request.call
        return PlacementRequest(
            request_id=self.request.request_id,
            prompt_tokens=call.prompt_tokens if call else 0,
            max_output=call.max_output if call else 0,
            chain=call.chain if call else (),
            excluded=frozenset(self.excluded),
        )


def _is_deterministic(request):
    """Return whether a second run is likely to produce the same events."""
    body = request.call.body
    return body.get("temperature") == 0 or body.get("seed") is not None
