"""The choice of a server for each attempt of a request."""

import asyncio

from cassiaford.gateway._configuration import RequestKind
from cassiaford.gateway._exchange_context import ExchangeContext
from cassiaford.gateway._job import Job
from cassiaford.gateway._placer import Choice, ServerQuery
from cassiaford.gateway.policy import should_wait

# Interval at which a request that waits for engines to catch up is placed anew.
# Up to half as long is added at random, so that instances do not act at once.
RECHECK_INTERVAL_S = 0.03


class ServerChooser:
    """Chooses servers for one job in a fleet of `instances`."""

    def __init__(self, job: Job, context: ExchangeContext, instances: int):
        self.job = job
        self.context = context
        self.instances = instances
        self.loop = asyncio.get_running_loop()

    async def next_choice(self) -> Choice | None:
        """Wait while others go first; return a server, or None if none may be used."""
        job = self.job
        while not self.context.crashes.is_refused(job):
            now = self.loop.time()
            choice = self._best_choice(now)
            if choice is None:
                return None
            job.expected_first_token_s = choice.first_token_s
            if self._misses_deadline(choice, now):
                job.misses_deadline = True
                return None
            if not self._should_wait(choice, now):
                return choice
            await self._wait_for_recheck(choice.placement.prefill_s)
        return None

    def _should_wait(self, choice, now):
        job = self.job
        if choice.placement is None or job.continues:
            # Plain services have no prefill to wait for, and a stream that has
            # started must not pause.
            return False
        return should_wait(
            choice.placement,
            now - job.request.received_at,
            job.route.target_latency_s,
            job.patience_s,
            self.context.placer.waiting_prefill_s(job.service, self.instances, now),
        )

    async def _wait_for_recheck(self, prefill_s):
        """Wait for one interval, counted as waiting prefill work."""
        job = self.job
        waiting = self.context.placer.waiting
        started_at = self.loop.time()
        waiting.add(job.metadata.attempt_id, prefill_s)
        try:
            await asyncio.sleep(
                RECHECK_INTERVAL_S * (1.0 + 0.5 * self.context.rng.random())
            )
        finally:
            waiting.remove(job.metadata.attempt_id)
            job.waited_s += self.loop.time() - started_at

    def _best_choice(self, now, sound_only=False):
        job = self.job
        query = ServerQuery(
            service=job.service,
            metadata=job.metadata,
            customer=job.customer,
            route=job.route,
            tried=job.tried_servers,
            may_withdraw=self._may_withdraw(now),
            may_continue=self._continues_at() if job.continues else None,
        )
        return self.context.placer.choose(query, now, sound_only=sound_only)

    def _continues_at(self):
        """Return the test whether a server may continue the stream."""
        job, context = self.job, self.context
        if context.origins.is_ambiguous(job.first_attempt_id):
            # The server that began it turned out to be another start.
            job.origin = None
        return lambda server: (
            job.may_continue_at(server) and not context.view.is_doubtful(server)
        )

    def _may_withdraw(self, now):
        """Return whether the request may be sent elsewhere after its next run.

        The begin of a response that is no stream cannot be seen.
        """
        job = self.job
        if job.route.kind is not RequestKind.STREAM or not job.has_more_runs:
            return False
        return self.context.budgets[job.service].allows(now, self.instances)

    def _misses_deadline(self, choice, now):
        """Return whether the deadline passes before the expected first token."""
        return now + choice.first_token_s > self.job.deadline

    def has_another_server(self, now: float) -> bool:
        """Return whether another server could take the request in time.

        A stream that may go on by itself is not cut for one that may be down.
        """
        choice = self._best_choice(now, sound_only=True)
        return choice is not None and not self._misses_deadline(choice, now)
