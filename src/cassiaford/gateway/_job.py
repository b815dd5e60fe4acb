"""A request on its way, with what was decided about it."""

from dataclasses import dataclass, field

from cassiaford.gateway._caller_connection import CallerConnection
from cassiaford.gateway._configuration import Customer, Route
from cassiaford.gateway._messages import HttpRequest, RequestMetadata
from cassiaford.verdict import Failure, Verdict


@dataclass
class Job:
    """A request on its way, with what was decided about it."""

    request: HttpRequest = field(repr=False)
    facts: RequestMetadata
    route: Route
    customer: Customer | None
    service: str
    connection: CallerConnection = field(repr=False)
    ends_at: float
    sends: int = 0
    runs: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    tried: set[int] = field(default_factory=set)
    resume_after: str | None = None
    head_sent: bool = False
    failure: Failure | None = None
    server: str = ""
    expected_s: float = 0.0
    waited_s: float = 0.0
    first_s: float | None = None
    longest_pause_s: float = 0.0
    status: int = 0
    too_late: bool = False

    @property
    def missed_target(self) -> bool:
        """Whether the answer began late, or paused for too long."""
        route = self.route
        if self.first_s is None or self.first_s > route.target_latency_s:
            return True
        return 0.0 < route.target_pause_s < self.longest_pause_s

    @property
    def patience_s(self) -> float:
        """The time since its arrival for which its caller stays without a word."""
        allowed_s = self.ends_at - self.request.received_at
        return min(self.route.patience_s, allowed_s)

    @property
    def has_more_runs(self) -> bool:
        """Whether the request may run once more after the run to come."""
        return self.route.idempotent and self.runs + 1 < self.route.max_attempts

    @property
    def may_run_again(self) -> bool:
        """Whether another server may run the request now."""
        if self.verdict is Verdict.NOT_RUN:
            return not self.head_sent
        if not self.route.idempotent or self.runs >= self.route.max_attempts:
            return False
        return not self.head_sent or self.resume_after is not None
