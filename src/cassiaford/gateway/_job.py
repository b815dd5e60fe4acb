"""The state of an admitted request."""

from dataclasses import dataclass, field
from functools import cached_property

from cassiaford.gateway._caller_connection import CallerConnection
from cassiaford.gateway._configuration import Customer, RequestKind, Route
from cassiaford.gateway._messages import BackendServer, HttpRequest, RequestMetadata
from cassiaford.origins import StreamOrigin, may_continue
from cassiaford.suspects import part_fingerprint, request_fingerprint
from cassiaford.verdict import Failure, Verdict


@dataclass
class Job:
    """An admitted request and the state of its processing.

    `deadline` is on the event loop's clock. `sends` counts the sends to servers and
    `runs` those that may have run; `tried_servers` has the keys of all servers tried.
    `expected_first_token_s` is the server's expected time to the first token, and
    `first_byte_s` the time from receipt to the first byte sent to the caller.
    `resume_after` is the identifier of the caller's last event, and `origin` that of
    the server whose event was the caller's first, None while unknown. `misses_deadline`
    is set if no server could start the response before the deadline. `cache_scope` is
    that of the latest attempt; see `Forwarding`.
    """

    request: HttpRequest = field(repr=False)
    metadata: RequestMetadata
    route: Route
    customer: Customer | None
    service: str
    connection: CallerConnection = field(repr=False)
    deadline: float
    sends: int = 0
    runs: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    tried_servers: set[int] = field(default_factory=set)
    resume_after: str | None = None
    origin: StreamOrigin | None = None
    head_sent: bool = False
    failure: Failure | None = None
    server_id: str = ""
    expected_first_token_s: float = 0.0
    waited_s: float = 0.0
    first_byte_s: float | None = None
    longest_pause_s: float = 0.0
    status: int = 0
    misses_deadline: bool = False
    cache_scope: str | None = None

    @cached_property
    def fingerprint(self) -> str:
        """The identity that the request keeps when its caller sends it again."""
        customer = self.customer.name if self.customer is not None else ""
        request = self.request
        return request_fingerprint(
            customer, request.method, request.target, request.body
        )

    @cached_property
    def part_fingerprints(self) -> tuple[int, ...]:
        """The identities of the parts of its prompt that other requests may share."""
        metadata = self.metadata
        return tuple(
            part_fingerprint(metadata.model or "", part.part_id)
            for part in metadata.parts[:-1]
        )

    @property
    def missed_target(self) -> bool:
        """Whether the response started late or paused for too long."""
        route = self.route
        if self.first_byte_s is None or self.first_byte_s > route.target_latency_s:
            return True
        return 0.0 < route.target_pause_s < self.longest_pause_s

    @property
    def patience_s(self) -> float:
        """How long after its arrival the caller waits for the first byte."""
        allowed_s = self.deadline - self.request.received_at
        return min(self.route.patience_s, allowed_s)

    @property
    def continues(self) -> bool:
        """Whether the caller has events of the stream already."""
        return self.head_sent or self.taken_up

    @property
    def taken_up(self) -> bool:
        """Whether the caller takes up a stream that another attempt began."""
        return self.route.kind is RequestKind.STREAM and self.metadata.takes_up

    @property
    def first_attempt_id(self) -> str:
        """The identifier of the attempt that brings the stream's first event."""
        metadata = self.metadata
        return metadata.resumes or metadata.attempt_id

    def may_continue_at(self, server: BackendServer) -> bool:
        """Return whether a server may continue the stream."""
        return may_continue(self.origin, server.service, server.software_version)

    @property
    def has_more_runs(self) -> bool:
        """Whether the request may run once more after its next run."""
        return self.route.idempotent and self.runs + 1 < self.route.max_attempts

    @property
    def may_run_again(self) -> bool:
        """Whether another server may run the request now."""
        if self.verdict is Verdict.NOT_RUN:
            return not self.head_sent
        if not self.route.idempotent or self.runs >= self.route.max_attempts:
            return False
        return not self.head_sent or self.resume_after is not None
