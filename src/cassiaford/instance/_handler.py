"""The handler of one request: local answers, then the pipeline's intake."""

import time
from collections.abc import Callable, Sequence

from cassiaford.instance._http import Exchange
from cassiaford.instance._local import LocalEndpoints
from cassiaford.logs import Event
from cassiaford.metrics import DurationMetric, Metrics
from cassiaford.pipeline import (
    AdmittedRequest,
    AuthenticatedRequest,
    CallerRequest,
    Filter,
    ReceiveFilter,
)
from cassiaford.pipeline._finalize import RequestFinalizer
from cassiaford.timeline import Journal
from cassiaford.verdict import Refusal, RefusalReason, refuse


class RequestHandler:
    """Takes each request as far as the dispatcher.

    `accept` hands an admitted request over; it returns a refusal if the
    request must not be handed over after all.
    """

    def __init__(
        self,
        receive: ReceiveFilter,
        local: LocalEndpoints,
        intake: Sequence[Filter],
        accept: Callable[[AdmittedRequest, Exchange], Refusal | None],
        settler: RequestFinalizer,
        metrics: Metrics,
        journal: Journal,
    ):
        self.receive = receive
        self.local = local
        self.intake = intake
        self.accept = accept
        self.settler = settler
        self.metrics = metrics
        self.journal = journal

    def handle(self, exchange: Exchange) -> None:
        """Answer a request, or hand it to the dispatcher."""
        try:
            self._handle(exchange)
        except Exception as error:
            # A fault of ours must not reach the caller as a broken connection.
            self.journal.record(
                Event.BACKGROUND_TASK_FAILED,
                error=type(error).__name__,
                text=str(error)[:300],
            )
            if not exchange.answered:
                refusal = refuse(RefusalReason.INTERNAL, "internal error")
                exchange.refuse(refusal, "")

    def _handle(self, exchange):
        raw = exchange.receive()
        caller = raw if isinstance(raw, Refusal) else self.receive.process(raw)
        if isinstance(caller, Refusal):
            exchange.refuse(caller, "")
            return
        answer = self.local.answer(caller)
        if answer is None:
            self._take_in(caller, exchange)
        elif isinstance(answer, Refusal):
            exchange.refuse(answer, caller.request_id)
        else:
            exchange.answer(answer.status, answer.headers, answer.body)

    def _take_in(self, caller: CallerRequest, exchange):
        message, customer_name = caller, ""
        for step in self.intake:
            message = step.process(message)
            if isinstance(message, Refusal):
                break
            if isinstance(message, AuthenticatedRequest) and message.customer:
                customer_name = message.customer.name
        refusal = message
        if not isinstance(message, Refusal):
            self.metrics.observe(
                DurationMetric.INTAKE_TIME, time.monotonic() - caller.received_at
            )
            refusal = self.accept(message, exchange)
        if refusal is not None:
            self.settler.finalize_refused(caller, customer_name, refusal)
            exchange.refuse(refusal, caller.request_id)
