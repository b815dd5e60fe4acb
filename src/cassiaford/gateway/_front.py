"""The handler of callers' requests: routing, authentication, rates, logging."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.gateway._begun_streams import BegunStreams
from cassiaford.gateway._caller_connection import CallerConnection, RequestHandler
from cassiaford.gateway._configuration import (
    CallerLimits,
    Customer,
    choose_service,
)
from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._dialect import Dialect, MalformedError
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._exchange import Exchange, ExchangeContext
from cassiaford.gateway._job import Job
from cassiaford.gateway._messages import HttpRequest
from cassiaford.gateway._placer import Placer
from cassiaford.gateway._prober import ServerProber
from cassiaford.gateway._server_connection import ConnectionPool
from cassiaford.gateway._settings import RetryLimits
from cassiaford.gateway._stream_origins import SoleOrigins, StreamOrigins
from cassiaford.gateway._view import View
from cassiaford.gateway.policy import (
    FleetRates,
    RetryBudget,
    ServerHealth,
    StopSchedule,
)
from cassiaford.logs import Event
from cassiaford.metrics import Counter, DurationMetric, Label, Metrics
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

# Minimum Retry-After of refusals whose cause passes quickly.
MIN_RETRY_AFTER_S = 0.3
# The Retry-After of a customer over its rate is the time until its tokens are
# available, longer by up to this fraction, which spreads the retries.
MAX_RETRY_JITTER_FRACTION = 0.5


@dataclass(frozen=True)
class _Rejection:
    """A refusal before placement, with the request's fields known by then."""

    refusal: Refusal
    request_id: str = ""
    route: str = ""
    customer: str = ""


class FrontHandler(RequestHandler):
    """Handles callers' requests on the front address.

    `leaving` makes connections close after their responses, and `refusing`
    refuses all new requests; both belong to a planned stop. `slack_from` is the
    time from which the slack of retry budgets may be used.
    """

    def __init__(
        self,
        dialect: Dialect,
        view: View,
        placer: Placer,
        health: ServerHealth,
        prober: ServerProber,
        pool: ConnectionPool,
        crashes: CrashMonitor,
        rates: FleetRates,
        retry_limits: RetryLimits,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        origins: StreamOrigins,
        sole_origins: SoleOrigins,
        begun: BegunStreams,
    ):
        self.dialect = dialect
        self.view = view
        self.rates = rates
        self.retry_limits = retry_limits
        self.log = log
        self.metrics = metrics
        self.rng = rng
        self.context = ExchangeContext(
            dialect,
            view,
            placer,
            health,
            prober,
            pool,
            crashes,
            {},
            log,
            rng,
            origins,
            sole_origins,
            begun,
            StopSchedule(),
        )
        self.instance_count: Callable[[], int | None] = lambda: 1
        self.state_ages: Callable[[], dict[str, object]] = dict
        self.leaving = False
        self.refusing = False
        self.slack_from = 0.0
        self.exchanges: set[Exchange] = set()
        self.loop = asyncio.get_running_loop()

    @property
    def limits(self) -> CallerLimits:
        """The limits on what a caller may send."""
        configuration = self.view.configuration
        return configuration.limits if configuration else CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether to close connections after their responses."""
        return self.leaving

    async def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Handle one request."""
        job = exchange = None
        try:
            admitted = self._admit(request, connection)
            if isinstance(admitted, _Rejection):
                self._reject(connection, admitted)
                return
            job = admitted
            exchange = Exchange(job, self.context, self.instance_count())
            self.exchanges.add(exchange)
            refusal = await exchange.run()
            if refusal is not None:
                self._refuse(connection, refusal, job)
            self._record_outcome(job, refusal)
        except asyncio.CancelledError:
            if job is not None:
                self._record_caller_left(job)
            raise
        finally:
            self.exchanges.discard(exchange)

    @property
    def in_progress(self) -> int:
        """The number of admitted requests that have not ended."""
        return len(self.exchanges)

    def end_requests(self) -> None:
        """End the requests in progress; a response that has begun is cut."""
        for exchange in tuple(self.exchanges):
            exchange.stop()

    def _admit(self, request, connection):
        """Return the job of a request, or its rejection."""
        try:
            metadata = self.dialect.read_request(request)
        except MalformedError as error:
            return _Rejection(refuse(RefusalReason.BAD_REQUEST, str(error)))
        refusal = self._refusal_if_not_serving()
        if refusal is not None:
            return _Rejection(refusal, metadata.attempt_id)
        configuration = self.view.configuration
        route = self.view.routes.find(metadata.host, request.path)
        if route is None:
            refusal = refuse(
                RefusalReason.UNKNOWN_ROUTE, "no route matches this host and path"
            )
            return _Rejection(refusal, metadata.attempt_id)
        customer = None
        if configuration.customers and not route.public:
            customer = configuration.customers_by_key.get(metadata.key or "")
            if customer is None:
                refusal = refuse(RefusalReason.INVALID_KEY, "no customer has this key")
                return _Rejection(refusal, metadata.attempt_id, route.name)
        allowed_s = route.timeout_s
        if metadata.deadline_s is not None:
            allowed_s = min(allowed_s, metadata.deadline_s)
            self.view.record_deadline(metadata.deadline_s)
        job = Job(
            request=request,
            metadata=metadata,
            route=route,
            customer=customer,
            service=choose_service(route, self.rng),
            connection=connection,
            deadline=request.received_at + allowed_s,
        )
        if job.taken_up:
            job.resume_after = metadata.resume_after
        for target in route.targets:
            self._ensure_budget(target.service)
        refusal = self._charge(job)
        if refusal is not None:
            return _Rejection(refusal, metadata.attempt_id, route.name, customer.name)
        return job

    def _refusal_if_not_serving(self):
        """Return the refusal of any request if the instance serves none now."""
        if self.refusing:
            message = "the instance is stopping"
            return refuse(RefusalReason.STOPPING, message, 0.0)
        if self.view.configuration is None:
            message = "the instance has no configuration yet"
            return refuse(RefusalReason.STARTING, message, MIN_RETRY_AFTER_S)
        return None

    def _charge(self, job):
        """Charge the customer's rate; return a refusal if it has too few tokens."""
        customer = job.customer
        if customer is None:
            return None
        tokens = self._request_tokens(job)
        now = self.loop.time()
        if self.rates.charge(customer.name, tokens, now):
            return None
        wait_s = self.rates.retry_after_s(customer.name, tokens, now)
        return refuse(
            RefusalReason.RATE_LIMITED,
            f"customer {customer.name} has used up its rate:"
            f" {self.rates.describe(customer.name)} for {tokens:g} tokens",
            (MIN_RETRY_AFTER_S + wait_s)
            * (1.0 + MAX_RETRY_JITTER_FRACTION * self.rng.random()),
        )

    def _request_tokens(self, job):
        return job.metadata.tokens or job.customer.plain_request_tokens

    def set_retry_limits(self, limits: RetryLimits) -> None:
        """Put new limits on retries in force."""
        self.retry_limits = limits
        for budget in self.context.budgets.values():
            budget.set_limits(limits.ratio, limits.slack, limits.window_s)

    def _ensure_budget(self, service):
        if service not in self.context.budgets:
            limits = self.retry_limits
            self.context.budgets[service] = RetryBudget(
                limits.ratio, limits.slack, limits.window_s, self.slack_from
            )

    def _refuse(self, connection, refusal, job):
        """Send a refusal, or abort a response that has started."""
        if refusal.verdict is Verdict.NOT_RUN and job.customer:
            now = self.loop.time()
            self.rates.refund(job.customer.name, self._request_tokens(job), now)
        if connection.head_sent:
            connection.abort()
        else:
            self._send_refusal(connection, refusal)

    def _reject(self, connection, rejection):
        """Send and log the refusal of a request that was not admitted."""
        refusal = rejection.refusal
        self._send_refusal(connection, refusal)
        self.log.write(
            Event.REQUEST_REFUSED,
            request_id=rejection.request_id,
            route=rejection.route,
            customer=rejection.customer,
            reason=refusal.reason.code,
            verdict=refusal.verdict.value,
            cause=refusal.message,
            retry_after_s=refusal.retry_after_s,
            **self.state_ages(),
        )

    def _send_refusal(self, connection, refusal):
        headers = []
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.3f}"))
        connection.send(self.dialect.status(refusal.reason), headers)
        self.metrics.count(Counter.REFUSALS, Label("reason", refusal.reason.code))

    def _count_request(self, job, verdict):
        """Count an admitted request by its verdict."""
        verdict_label = Label("verdict", verdict.value)
        self.metrics.count(
            Counter.REQUESTS,
            Label("route", job.route.name),
            Label("class", customer_class(job.customer)),
            verdict_label,
        )
        if job.server_id:
            server = Label("server", job.server_id)
            self.metrics.count(Counter.SERVER_REQUESTS, server, verdict_label)
        if job.sends:
            self._count_sends(job)

    def _count_sends(self, job):
        """Count the sends of a request, the repeated ones separately."""
        service = Label("service", job.service)
        for kind, amount in (("first", 1), ("repeated", job.sends - 1)):
            if amount:
                labels = service, Label("kind", kind)
                self.metrics.count(Counter.SERVER_SENDS, *labels, amount=amount)

    def _record_outcome(self, job, refusal):
        """Record a finished request in metrics and log."""
        self._count_request(job, job.verdict if refusal is None else refusal.verdict)
        took_s = self.loop.time() - job.request.received_at
        fields = self._log_fields(job, took_s)
        if refusal is not None:
            fields["reason"] = refusal.reason.code
            fields["cause"] = refusal.message
            fields["retry_after_s"] = refusal.retry_after_s
            fields["verdict"] = refusal.verdict.value
            not_run = refusal.verdict is Verdict.NOT_RUN
            event = Event.REQUEST_REFUSED if not_run else Event.REQUEST_FAILED
            self.log.write(event, **fields, **self.state_ages())
            return
        self.metrics.observe(
            DurationMetric.TIME_TO_FIRST_TOKEN,
            job.first_byte_s or took_s,
            Label("route", job.route.name),
        )
        self._observe_pause(job)
        late = job.missed_target
        if late or job.status >= 500:
            self.log.write(
                Event.REQUEST_COMPLETED, late=late, **fields, **self.state_ages()
            )
        else:
            self.log.write_sampled(Event.REQUEST_COMPLETED, **fields)

    def _observe_pause(self, job):
        if job.longest_pause_s:
            route = Label("route", job.route.name)
            self.metrics.observe(DurationMetric.LONGEST_GAP, job.longest_pause_s, route)

    def _record_caller_left(self, job):
        self._count_request(job, job.verdict)
        took_s = self.loop.time() - job.request.received_at
        self.log.write(Event.CALLER_LEFT, **self._log_fields(job, took_s))

    def _log_fields(self, job, took_s):
        fields = {
            "request_id": job.metadata.attempt_id,
            "route": job.route.name,
            "customer": job.customer.name if job.customer else "",
            "server": job.server_id,
            "sends": job.sends,
            "fingerprint": job.fingerprint,
            "waited_s": round(job.waited_s, 3),
            "expected_s": round(job.expected_first_token_s, 3),
            "first_s": round(job.first_byte_s, 3)
            if job.first_byte_s is not None
            else None,
            "took_s": round(took_s, 3),
            "longest_pause_s": round(job.longest_pause_s, 3),
            "status": job.status,
            "verdict": job.verdict.value,
        }
        if job.cache_scope is not None:
            fields["cache_scope"] = job.cache_scope
        if job.taken_up:
            fields["resumes"] = job.metadata.resumes or ""
            fields["software_version"] = (
                job.origin.software_version if job.origin else ""
            )
        return fields


def customer_class(customer: Customer | None) -> str:
    """Return the value of the metrics label for a customer's class."""
    if customer is None:
        return "public"
    return "standard" if customer.priority is None else f"priority {customer.priority}"
