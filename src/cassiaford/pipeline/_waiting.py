"""Jobs that wait for a backend server, and the choice of one.

Not safe for threads by itself: the dispatcher calls it under its lock.
"""

import collections
import random
import time
from collections.abc import Callable

from cassiaford.config import BackendServer, Configuration
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._refusals import late_refusal, no_server_refusal
from cassiaford.pipeline._suspects import SuspectPolicy
from cassiaford.pipeline._versions import ServedVersions
from cassiaford.policy import PlacementPolicy, RequestQueue, RetryBudget, ServerHealth
from cassiaford.settings import LimitSettings
from cassiaford.verdict import Refusal

# A request with a server to go to is given at least this time to get there.
MIN_WAIT_S = 0.001


class WaitingJobs:
    """Decides which job is sent next, and where.

    First come the jobs that are sent again: a resumption goes back to its
    server at once, a retry is placed anew. Then comes the queue.
    """

    def __init__(
        self,
        settings: LimitSettings,
        configuration: Callable[[], Configuration],
        placement: PlacementPolicy,
        queue: RequestQueue,
        rng: random.Random,
        suspects: SuspectPolicy | None,
        now: float,
        versions: ServedVersions | None = None,
    ):
        self.versions = versions
        self.settings = settings
        self.configuration = configuration
        self.placement = placement
        self.queue = queue
        self.rng = rng
        self.suspects = suspects
        self.health = ServerHealth()
        self.budget = RetryBudget(now)
        self.decision_s = 0.0
        self.on_sent: Callable[[str, int], None] = lambda server, tokens: None
        self.queued = {}
        self.again = collections.deque()

    def __bool__(self) -> bool:
        return bool(self.queued or self.again)

    def offer(self, job: Job, now: float) -> Refusal | None:
        """Take in a new job, or return why it is refused."""
        refusal = self._refuse_without_server(job, now)
        if refusal is None:
            refusal = self.queue.offer(job.ticket(), now)
        if refusal is None:
            self.queued[job.request.request_id] = job
        return refusal

    def offer_again(self, job: Job, now: float) -> Refusal | None:
        """Take in a job that was sent before, or return why it is refused."""
        if job.resume_at is None:
            job.deadline = min(job.give_up_at, now + self.settings.queue_wait_s)
            refusal = self._refuse_without_server(job, now)
            if refusal is not None:
                return refusal
        self.again.append(job)
        return None

    def take(self, now: float) -> Job | None:
        """Remove and return the next job, placed unless its caller has left."""
        return self._take_again(now) or self._take_queued(now)

    def unwatched(self) -> list[Job]:
        """Return the jobs that wait and whose callers are not yet watched."""
        return [job for job in self.queued.values() if not job.opened]

    def expire(self, now: float) -> list[tuple[Job, Refusal]]:
        """Remove the jobs past their deadline and return them with refusals."""
        expired = [
            self.queued.pop(ticket.request_id) for ticket in self.queue.expire(now)
        ]
        for job in tuple(self.again):
            if job.resume_at is None and job.deadline <= now:
                self.again.remove(job)
                expired.append(job)
        wait_s = self.settings.queue_wait_s
        return [(job, late_refusal(job, wait_s)) for job in expired]

    def _take_again(self, now):
        for job in self.again:
            if job.abandoned or job.resume_at is not None or self._place(job, now):
                self.again.remove(job)
                return job
        return None

    def _take_queued(self, now):
        def may_dispatch(ticket):
            job = self.queued[ticket.request_id]
            return job.abandoned or self._place(job, now)

        ticket = self.queue.take(now, may_dispatch)
        if ticket is None:
            return None
        self.budget.record_first_attempt(now)
        job = self.queued.pop(ticket.request_id)
        received_at = job.request.authenticated.caller.received_at
        job.waited(now - received_at, self.decision_s)
        return job

    def _place(self, job, now):
        """Choose a server for a job; the choice is made again at each look."""
        servers = self._allowed_servers(job, now)
        views = self.health.views(servers, now)
        request = job.placement_request()
        started = time.perf_counter()
        placement = self.placement.place(request, views, now, self.rng)
        self.decision_s = time.perf_counter() - started
        if placement is None:
            return False
        job.sent_to(_named(servers, placement.server))
        self.health.record_start(placement.server)
        self.placement.record_start(placement, request, now)
        to_compute = request.prompt_tokens - placement.cached_tokens
        self.on_sent(placement.server, to_compute)
        if self.suspects is not None:
            self.suspects.sent(job.request, placement.server)
        return True

    def _allowed_servers(self, job, now):
        """Return the servers that may take a job now.

        Where servers are few, suspects are kept apart only until half of their
        time to wait is over: most crashes are no request's fault, and a
        request is rather run beside another suspect than refused.
        """
        servers = self._servers(job)
        if self.versions is not None and job.request.call is not None:
            model = job.request.call.model.name
            servers = tuple(
                s for s in servers if self.versions.is_serving(s.name, model)
            )
        time_left_s = job.deadline - now
        if self.suspects is None or time_left_s < self.settings.queue_wait_s / 2:
            return servers
        names = tuple(server.name for server in self._configured_servers(job))
        avoided = self.suspects.avoided(job.request, names)
        return tuple(server for server in servers if server.name not in avoided)

    def _servers(self, job):
        """Return the servers that could take a job."""
        servers = self._configured_servers(job)
        return tuple(s for s in servers if s.name not in job.excluded)

    def _configured_servers(self, job):
        configuration = self.configuration()
        request = job.request
        if request.call is not None:
            return configuration.engines_for(request.call.model.name)
        route = request.authenticated.route
        return configuration.services_in(route.group)

    def _refuse_without_server(self, job, now):
        """Return a refusal if no server can take a job before its deadline."""
        servers = self._servers(job)
        wait_s = self.health.min_backoff_remaining_s(servers, now)
        if servers and now + wait_s < max(job.deadline, now + MIN_WAIT_S):
            return None
        held_s = self.health.max_backoff_remaining_s(job.servers, now)
        return no_server_refusal(job, max(wait_s, held_s))


def _named(servers: tuple[BackendServer, ...], name: str) -> BackendServer:
    return next(server for server in servers if server.name == name)
