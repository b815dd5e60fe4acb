"""Receiving callers' requests: routed, authenticated, charged, answered."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.gateway._caller_connection import CallerConnection, RequestHandler
from cassiaford.gateway._configuration import (
    CallerLimits,
    Customer,
    choose_service,
)
from cassiaford.gateway._dialect import Dialect, MalformedError
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._exchange import Exchange, ExchangeParts
from cassiaford.gateway._job import Job
from cassiaford.gateway._messages import HttpRequest
from cassiaford.gateway._placer import Placer
from cassiaford.gateway._prober import ServerProber
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway._settings import RetryLimits
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import FleetRates, RetryBudget, ServerHealth
from cassiaford.logs import Event
from cassiaford.metrics import Counter, DurationMetric, Label, Metrics
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

# A caller that is turned away for a moment may come back after this time.
SHORTLY_S = 0.3
# A refused customer returns at the earliest when its tokens are there, and up
# to this share of the wait later, so that returns spread.
SPREAD = 0.5


@dataclass(frozen=True)
class _Rejected:
    """A request that is refused before it is placed, as far as it was read."""

    refusal: Refusal
    request_id: str = ""
    route: str = ""
    customer: str = ""


class Front(RequestHandler):
    """Answers the requests of callers."""

    def __init__(
        self,
        dialect: Dialect,
        view: View,
        placer: Placer,
        trust: ServerHealth,
        prober: ServerProber,
        pool: ConnectionPool,
        rates: FleetRates,
        resends: RetryLimits,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ):
        self.dialect = dialect
        self.view = view
        self.rates = rates
        self.resends = resends
        self.log = log
        self.metrics = metrics
        self.rng = rng
        self.parts = ExchangeParts(
            dialect, view, placer, trust, prober, pool, {}, log, rng
        )
        self.instances: Callable[[], int] = lambda: 1
        self.beliefs: Callable[[], dict[str, object]] = dict
        self.leaving = False
        self.refusing = False
        self.in_progress = 0
        self.loop = asyncio.get_running_loop()

    @property
    def limits(self) -> CallerLimits:
        """What a caller may send."""
        configuration = self.view.configuration
        return configuration.limits if configuration else CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their answers."""
        return self.leaving

    async def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one request."""
        self.in_progress += 1
        job = None
        try:
            admitted = self._admit(request, connection)
            if isinstance(admitted, _Rejected):
                self._reject(connection, admitted)
                return
            job = admitted
            refusal = await Exchange(job, self.parts, self.instances()).run()
            if refusal is not None:
                self._refuse(connection, refusal, job)
            self._record(job, refusal)
        except asyncio.CancelledError:
            if job is not None:
                self._caller_left(job)
            raise
        finally:
            self.in_progress -= 1

    def _admit(self, request, connection):
        """Return the job of a request, or why it is rejected."""
        try:
            facts = self.dialect.read_request(request)
        except MalformedError as error:
            return _Rejected(refuse(RefusalReason.BAD_REQUEST, str(error)))
        refusal = self._unready()
        if refusal is not None:
            return _Rejected(refusal, facts.attempt_id)
        configuration = self.view.configuration
        route = self.view.routes.find(facts.host, request.path)
        if route is None:
            refusal = refuse(RefusalReason.UNKNOWN_ROUTE, "no route has this prefix")
            return _Rejected(refusal, facts.attempt_id)
        customer = None
        if configuration.customers and not route.public:
            customer = configuration.customers_by_key.get(facts.key or "")
            if customer is None:
                refusal = refuse(RefusalReason.INVALID_KEY, "no customer has this key")
                return _Rejected(refusal, facts.attempt_id, route.name)
        allowed_s = route.timeout_s
        if facts.deadline_s is not None:
            allowed_s = min(allowed_s, facts.deadline_s)
        job = Job(
            request=request,
            facts=facts,
            route=route,
            customer=customer,
            service=choose_service(route, self.rng),
            connection=connection,
            ends_at=request.received_at + allowed_s,
        )
        self._budget(job.service)
        refusal = self._charge(job)
        if refusal is not None:
            return _Rejected(refusal, facts.attempt_id, route.name, customer.name)
        return job

    def _unready(self):
        """Return the refusal of all requests, if the instance serves none."""
        if self.refusing:
            message = "the instance is stopping"
            return refuse(RefusalReason.STOPPING, message, 0.0)
        if self.view.configuration is None:
            message = "the instance has no configuration yet"
            return refuse(RefusalReason.STARTING, message, SHORTLY_S)
        return None

    def _charge(self, job):
        """Take the request's tokens; return the refusal if there are too few."""
        customer = job.customer
        if customer is None:
            return None
        tokens = self._tokens(job)
        now = self.loop.time()
        if self.rates.charge(customer.name, tokens, now):
            return None
        wait_s = self.rates.retry_after_s(customer.name, tokens, now)
        return refuse(
            RefusalReason.RATE_LIMITED,
            f"customer {customer.name} has used up its rate:"
            f" {self.rates.describe(customer.name)} for {tokens:g} tokens",
            (SHORTLY_S + wait_s) * (1.0 + SPREAD * self.rng.random()),
        )

    def _tokens(self, job):
        return job.facts.tokens or job.customer.plain_request_tokens

    def _budget(self, service):
        if service not in self.parts.budgets:
            limits = self.resends
            self.parts.budgets[service] = RetryBudget(
                limits.ratio, limits.slack, limits.window_s
            )

    def _refuse(self, connection, refusal, job):
        """Send a refusal, or break off an answer that has begun."""
        if refusal.verdict is Verdict.NOT_RUN and job.customer:
            now = self.loop.time()
            self.rates.refund(job.customer.name, self._tokens(job), now)
        if connection.head_sent:
            connection.abort()
        else:
            self._send_refusal(connection, refusal)

    def _reject(self, connection, rejected):
        """Send the refusal of a request that was not admitted."""
        refusal = rejected.refusal
        self._send_refusal(connection, refusal)
        self.log.write(
            Event.REQUEST_REFUSED,
            request_id=rejected.request_id,
            route=rejected.route,
            customer=rejected.customer,
            reason=refusal.reason.code,
            verdict=refusal.verdict.value,
            cause=refusal.message,
            retry_after_s=refusal.retry_after_s,
            **self.beliefs(),
        )

    def _send_refusal(self, connection, refusal):
        headers = []
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.3f}"))
        connection.send(refusal.reason.status, headers)
        self.metrics.count(Counter.REFUSALS, Label("reason", refusal.reason.code))

    def _count(self, job, verdict):
        """Count a request of an admitted customer by what became of it."""
        told = Label("verdict", verdict.value)
        self.metrics.count(
            Counter.REQUESTS,
            Label("route", job.route.name),
            Label("class", customer_class(job.customer)),
            told,
        )
        if job.server:
            server = Label("server", job.server)
            self.metrics.count(Counter.SERVER_REQUESTS, server, told)

    def _record(self, job, refusal):
        """Log what became of a request and what decided it."""
        self._count(job, job.verdict if refusal is None else refusal.verdict)
        took_s = self.loop.time() - job.request.received_at
        fields = self._fields(job, took_s)
        if refusal is not None:
            fields["reason"] = refusal.reason.code
            fields["cause"] = refusal.message
            fields["retry_after_s"] = refusal.retry_after_s
            fields["verdict"] = refusal.verdict.value
            not_run = refusal.verdict is Verdict.NOT_RUN
            event = Event.REQUEST_REFUSED if not_run else Event.REQUEST_FAILED
            self.log.write(event, **fields, **self.beliefs())
            return
        self.metrics.observe(
            DurationMetric.TIME_TO_FIRST_TOKEN,
            job.first_s or took_s,
            Label("route", job.route.name),
        )
        self._observe_pause(job)
        late = job.missed_target
        if late or job.status >= 500:
            self.log.write(
                Event.REQUEST_COMPLETED, late=late, **fields, **self.beliefs()
            )
        else:
            self.log.write_sampled(Event.REQUEST_COMPLETED, **fields)

    def _observe_pause(self, job):
        if job.longest_pause_s:
            route = Label("route", job.route.name)
            self.metrics.observe(DurationMetric.LONGEST_GAP, job.longest_pause_s, route)

    def _caller_left(self, job):
        self._count(job, job.verdict)
        took_s = self.loop.time() - job.request.received_at
        self.log.write(Event.CALLER_LEFT, **self._fields(job, took_s))

    def _fields(self, job, took_s):
        return {
            "request_id": job.facts.attempt_id,
            "route": job.route.name,
            "customer": job.customer.name if job.customer else "",
            "server": job.server,
            "sends": job.sends,
            "waited_s": round(job.waited_s, 3),
            "expected_s": round(job.expected_s, 3),
            "first_s": round(job.first_s, 3) if job.first_s is not None else None,
            "took_s": round(took_s, 3),
            "longest_pause_s": round(job.longest_pause_s, 3),
            "status": job.status,
            "verdict": job.verdict.value,
        }


def customer_class(customer: Customer | None) -> str:
    """Return the class of a customer, as metrics name it."""
    if customer is None:
        return "public"
    return "standard" if customer.priority is None else f"priority {customer.priority}"
