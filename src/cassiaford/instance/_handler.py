"""The handling of a request up to its submission to the dispatcher."""

import time
from collections.abc import Callable, Sequence

from cassiaford.instance._http import HttpExchange
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
    """Responds to local requests and submits all others to the dispatcher.

    `accept` submits an admitted request; it returns a refusal if the request
    must not run after all.
    """

    def __init__(
        self,
        receive: ReceiveFilter,
        local: LocalEndpoints,
        intake: Sequence[Filter],
        accept: Callable[[AdmittedRequest, HttpExchange], Refusal | None],
        finalizer: RequestFinalizer,
        metrics: Metrics,
        journal: Journal,
    ):
        self.receive = receive
        self.local = local
        self.intake = intake
        self.accept = accept
        self.finalizer = finalizer
        self.metrics = metrics
        self.journal = journal

    def handle(self, exchange: HttpExchange) -> None:
        """Respond to a request or submit it to the dispatcher."""
        try:
            self._handle(exchange)
        except Exception as error:
            # An internal error must not appear to the caller as a broken connection.
            self.journal.record(
                Event.BACKGROUND_TASK_FAILED,
                error=type(error).__name__,
                text=str(error)[:300],
            )
            if not exchange.responded:
                refusal = refuse(RefusalReason.INTERNAL, "internal error")
                exchange.refuse(refusal, "")

    def _handle(self, exchange):
        raw = exchange.receive()
        caller = raw if isinstance(raw, Refusal) else self.receive.process(raw)
        if isinstance(caller, Refusal):
            exchange.refuse(caller, "")
            return
        response = self.local.respond(caller)
        if response is None:
            self._admit(caller, exchange)
        elif isinstance(response, Refusal):
            exchange.refuse(response, caller.request_id)
        else:
            exchange.respond(response.status, response.headers, response.body)

    def _admit(self, caller: CallerRequest, exchange):
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
            self.finalizer.finalize_refused(caller, customer_name, refusal)
            exchange.refuse(refusal, caller.request_id)
