"""The jobs that wait for a backend server, and their placement.

Not thread-safe: the dispatcher calls it under its lock.
"""

import collections
import random
import time
from collections.abc import Callable

from cassiaford.config import BackendServer, Configuration
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._refusals import deadline_refusal, no_server_refusal
from cassiaford.pipeline._suspects import SuspectPolicy
from cassiaford.pipeline._versions import ServedVersions
from cassiaford.policy import PlacementPolicy, RequestQueue, RetryBudget, ServerHealth
from cassiaford.settings import LimitSettings
from cassiaford.verdict import Refusal

# The minimum time that a request with an available server may wait for it.
MIN_WAIT_S = 0.001


class WaitingJobs:
    """Decides which job is sent next, and to which server.

    Jobs to be sent again come first: a resumption returns to its server
    immediately, a retry is placed again. The queue comes second.
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
        self.placement_s = 0.0
        self.on_sent: Callable[[str, int], None] = lambda server, tokens: None
        self.queued = {}
        self.resent = collections.deque()

    def __bool__(self) -> bool:
        return bool(self.queued or self.resent)

    def offer(self, job: Job, now: float) -> Refusal | None:
        """Queue a new job, or return why it is refused."""
        refusal = self._refuse_without_server(job, now)
        if refusal is None:
            refusal = self.queue.offer(job.ticket(), now)
        if refusal is None:
            self.queued[job.request.request_id] = job
        return refusal

    def offer_resent(self, job: Job, now: float) -> Refusal | None:
        """Queue a job that was sent before, or return why it is refused."""
        if job.resume_at is None:
            job.deadline = min(job.request_deadline, now + self.settings.queue_wait_s)
            refusal = self._refuse_without_server(job, now)
            if refusal is not None:
                return refusal
        self.resent.append(job)
        return None

    def take(self, now: float) -> Job | None:
        """Remove and return the next job, placed unless its caller disconnected."""
        return self._take_resent(now) or self._take_queued(now)

    def unwatched(self) -> list[Job]:
        """Return the queued jobs whose callers are not yet watched."""
        return [job for job in self.queued.values() if not job.has_exchange]

    def expire(self, now: float) -> list[tuple[Job, Refusal]]:
        """Remove the jobs past their deadline and return them with their refusals."""
        expired = [
            self.queued.pop(ticket.request_id) for ticket in self.queue.expire(now)
        ]
        for job in tuple(self.resent):
            if job.resume_at is None and job.deadline <= now:
                self.resent.remove(job)
                expired.append(job)
        wait_s = self.settings.queue_wait_s
        return [(job, deadline_refusal(job, wait_s)) for job in expired]

    def _take_resent(self, now):
        for job in self.resent:
            if job.abandoned or job.resume_at is not None or self._place(job, now):
                self.resent.remove(job)
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
        job.record_placement(now - received_at, self.placement_s)
        return job

    def _place(self, job, now):
        """Choose a server for a job, anew at each call; return whether one is free."""
        servers = self._allowed_servers(job, now)
        views = self.health.views(servers, now)
        request = job.placement_request()
        started_at = time.perf_counter()
        placement = self.placement.place(request, views, now, self.rng)
        self.placement_s = time.perf_counter() - started_at
        if placement is None:
            return False
        job.record_attempt(_server_named(servers, placement.server))
        self.health.record_start(placement.server)
        self.placement.record_start(placement, request, now)
        prefill_tokens = request.prompt_tokens - placement.cached_tokens
        self.on_sent(placement.server, prefill_tokens)
        if self.suspects is not None:
            self.suspects.record_start(job.request, placement.server)
        return True

    def _allowed_servers(self, job, now):
        """Return the servers that may run a job now.

        Where servers are few, suspects are kept apart only for the first half
        of their queue wait: most crashes are not caused by a request, so a
        request is run beside another suspect rather than refused.
        """
        servers = self._candidate_servers(job)
        if self.versions is not None and job.request.call is not None:
            model = job.request.call.model.name
            servers = tuple(
                s for s in servers if self.versions.is_serving(s.name, model)
            )
        time_left_s = job.deadline - now
        if self.suspects is None or time_left_s < self.settings.queue_wait_s / 2:
            return servers
        names = tuple(server.name for server in self._configured_servers(job))
        avoided = self.suspects.servers_to_avoid(job.request, names)
        return tuple(server for server in servers if server.name not in avoided)

    def _candidate_servers(self, job):
        """Return the servers that could run a job."""
        return tuple(
            server
            for server in self._configured_servers(job)
            if server.name not in job.excluded and job.may_continue_at(server)
        )

    def _configured_servers(self, job):
        configuration = self.configuration()
        request = job.request
        if request.call is not None:
            return configuration.engines_for(request.call.model.name)
        route = request.authenticated.route
        return configuration.services_in(route.group)

    def _refuse_without_server(self, job, now):
        """Return a refusal if no server can run a job before its deadline."""
        servers = self._candidate_servers(job)
        wait_s = self.health.min_backoff_remaining_s(servers, now)
        if servers and now + wait_s < max(job.deadline, now + MIN_WAIT_S):
            return None
        backoff_s = self.health.max_backoff_remaining_s(job.servers, now)
        return no_server_refusal(job, max(wait_s, backoff_s))


def _server_named(servers: tuple[BackendServer, ...], name: str) -> BackendServer:
    return next(server for server in servers if server.name == name)
