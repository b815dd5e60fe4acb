"""Admission: checks a request's validity, permissions and customer rate."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford.config import Configuration, Customer
from cassiaford.engines import BYTES_PER_TOKEN
from cassiaford.pipeline._filter import Filter
from cassiaford.pipeline._messages import (
    AdmittedRequest,
    AuthenticatedRequest,
    ServiceClass,
)
from cassiaford.pipeline._model_call import parse_model_call, service_class_of
from cassiaford.settings import LimitSettings
from cassiaford.verdict import Refusal

IDEMPOTENCY_HEADER = "idempotency-key"


class Limiter(ABC):
    """Enforces customers' token rates and bursts across the fleet."""

    @abstractmethod
    def charge(self, customer: Customer, tokens: int) -> Refusal | None:
        """Charge tokens; return a refusal if the customer has too few available."""

    @abstractmethod
    def refund(self, customer_name: str, tokens: int) -> None:
        """Return tokens that were charged but not used."""


class AdmitFilter(Filter[AuthenticatedRequest, AdmittedRequest]):
    """Charges the prompt and the maximum output of a request to its customer."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        limiter: Limiter,
        limits: LimitSettings,
    ):
        self.configuration = configuration
        self.limiter = limiter
        self.limits = limits

    def process(self, message: AuthenticatedRequest) -> AdmittedRequest | Refusal:
        """Return the admitted request, or a refusal."""
        if message.route is None:
            admitted = self._admit_model_call(message)
        else:
            admitted = self._admit_service_call(message)
        if isinstance(admitted, Refusal) or message.customer is None:
            return admitted
        refusal = self.limiter.charge(message.customer, admitted.charged_tokens)
        return refusal or admitted

    def _admit_model_call(self, message):
        call = parse_model_call(message.caller, message.customer, self.configuration())
        if isinstance(call, Refusal):
            return call
        service_class = service_class_of(call)
        return AdmittedRequest(
            authenticated=message,
            service_class=service_class,
            repeatable=not message.caller.header(IDEMPOTENCY_HEADER),
            deadline=message.caller.received_at + self._queue_wait(service_class),
            charged_tokens=call.prompt_tokens + call.max_output,
            call=call,
        )

    def _admit_service_call(self, message):
        tokens = max(1, math.ceil(len(message.caller.body) / BYTES_PER_TOKEN))
        return AdmittedRequest(
            authenticated=message,
            service_class=ServiceClass.INTERACTIVE,
            repeatable=message.route.repeatable,
            deadline=message.caller.received_at + self.limits.queue_wait_s,
            charged_tokens=tokens if message.customer else 0,
        )

    def _queue_wait(self, service_class):
        if service_class is ServiceClass.BATCH:
            return self.limits.batch_queue_wait_s
        return self.limits.queue_wait_s
