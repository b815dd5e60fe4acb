"""Finalization: refunds tokens and records the outcome of an ended request."""

from collections.abc import Callable

from cassiaford.logs import Event
from cassiaford.metrics import Counter, DurationMetric, Label, Metrics
from cassiaford.pipeline._admit import Limiter
from cassiaford.pipeline._messages import AdmittedRequest, CallerRequest, Outcome
from cassiaford.timeline import Journal, Subject
from cassiaford.verdict import Refusal, Verdict


class RequestFinalizer:
    """Refunds unused tokens and records the outcomes of requests.

    `on_completed` is called with each request that ran to completion.
    """

    def __init__(
        self,
        limiter: Limiter,
        metrics: Metrics,
        journal: Journal,
        on_completed: Callable[[AdmittedRequest], None],
    ):
        self.limiter = limiter
        self.metrics = metrics
        self.journal = journal
        self.on_completed = on_completed

    def finalize(self, request: AdmittedRequest, outcome: Outcome) -> None:
        """Finalize a request that was admitted."""
        self._refund_unused(request, outcome)
        self._record_metrics(request, outcome)
        if outcome.verdict is Verdict.RAN:
            self.on_completed(request)
        subject = Subject(
            request.request_id, request.customer_name, ",".join(outcome.servers)
        )
        if outcome.refusal is not None:
            self._record_refusal(outcome.refusal, subject)
            return
        event = Event.REQUEST_COMPLETED
        if outcome.verdict is not Verdict.RAN:
            event = Event.REQUEST_FAILED
        self.journal.record(
            event,
            subject,
            verdict=outcome.verdict.value,
            status=outcome.status,
            service_class=request.service_class.value,
        )

    def finalize_refused(
        self, caller: CallerRequest, customer_name: str, refusal: Refusal
    ) -> None:
        """Finalize a request that was refused before it was admitted."""
        self._count_verdict("", customer_name, refusal.verdict)
        self._record_refusal(refusal, Subject(caller.request_id, customer_name))

    def refund_all(self, request: AdmittedRequest) -> None:
        """Refund the whole charge of a request that is not run."""
        if request.customer_name:
            self.limiter.refund(request.customer_name, request.charged_tokens)

    def _refund_unused(self, request, outcome):
        if not request.customer_name:
            return
        unused = 0
        if outcome.usage is not None:
            unused = request.charged_tokens - outcome.usage.total
        elif outcome.verdict is Verdict.NOT_RUN:
            unused = request.charged_tokens
        if unused:
            self.limiter.refund(request.customer_name, unused)

    def _record_metrics(self, request, outcome):
        service_class = request.service_class.value
        self._count_verdict(service_class, request.customer_name, outcome.verdict)
        label = Label("class", service_class)
        timings = outcome.timings
        durations = (
            (DurationMetric.TIME_TO_FIRST_TOKEN, outcome.first_token_s),
            (DurationMetric.QUEUE_WAIT, timings.queue_wait_s),
            (DurationMetric.PLACEMENT_TIME, timings.placement_s),
            (DurationMetric.LONGEST_GAP, timings.longest_gap_s),
        )
        for metric, duration_s in durations:
            if duration_s is not None:
                self.metrics.observe(metric, duration_s, label)
        if outcome.usage is not None:
            usage = outcome.usage
            self.metrics.count(Counter.PROMPT_TOKENS, amount=usage.prompt_tokens)
            self.metrics.count(Counter.CACHED_TOKENS, amount=usage.cached_tokens)
            self.metrics.count(Counter.OUTPUT_TOKENS, amount=usage.output_tokens)

    def _count_verdict(self, service_class, customer_name, verdict):
        verdict_label = Label("verdict", verdict.value)
        self.metrics.count(
            Counter.REQUESTS, Label("class", service_class), verdict_label
        )
        self.metrics.count(
            Counter.CUSTOMER_REQUESTS, Label("customer", customer_name), verdict_label
        )

    def _record_refusal(self, refusal, subject):
        self.metrics.count(Counter.REFUSALS, Label("reason", refusal.reason.code))
        details = {"reason": refusal.reason.code, "verdict": refusal.verdict.value}
        if refusal.retry_after_s is not None:
            details["retry_after_s"] = round(refusal.retry_after_s, 3)
        self.journal.record(Event.REQUEST_REFUSED, subject, **details)
