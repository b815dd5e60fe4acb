"""Acceptance: claims non-repeatable requests and submits all to the dispatcher."""

import time
from collections.abc import Callable
from dataclasses import replace

from cassiaford.fleet import ClaimService
from cassiaford.instance._fingerprint import fingerprint
from cassiaford.instance._http import HttpExchange
from cassiaford.pipeline import AdmittedRequest, Dispatcher, Header, Outcome
from cassiaford.pipeline._admit import IDEMPOTENCY_HEADER
from cassiaford.pipeline._finalize import RequestFinalizer
from cassiaford.pipeline._http_responses import REQUEST_ID_HEADER, VERDICT_HEADER
from cassiaford.policy import Claim, RecordedOutcome
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

MAX_IDEMPOTENCY_KEY_LENGTH = 255
REPLAYED_HEADER = "Idempotent-Replayed"


class Acceptor:
    """Submits admitted requests to the dispatcher, with a claim where one is needed."""

    def __init__(
        self,
        claims: ClaimService,
        dispatcher: Dispatcher,
        finalizer: RequestFinalizer,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.claims = claims
        self.dispatcher = dispatcher
        self.finalizer = finalizer
        self.clock = clock

    def accept(
        self, request: AdmittedRequest, exchange: HttpExchange
    ) -> Refusal | None:
        """Submit a request; return a refusal if it must not run."""
        if request.repeatable:
            self.dispatcher.submit(request, exchange.detach(), self.finalizer.finalize)
            return None
        result = self._claim(request)
        if isinstance(result, Claim):
            self._submit_claimed(request, result, exchange)
            return None
        self.finalizer.refund_all(request)
        if isinstance(result, RecordedOutcome):
            _replay(result, exchange)
            return None
        return result

    def _claim(self, request):
        caller = request.authenticated.caller
        key = caller.header(IDEMPOTENCY_HEADER)
        if not key or len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            return refuse(
                RefusalReason.MISSING_IDEMPOTENCY_KEY,
                "this request runs at most once and needs the header"
                f" Idempotency-Key of 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} characters",
            )
        return self.claims.claim(
            request.customer_name, key, fingerprint(request), request.request_id
        )

    def _submit_claimed(self, request, claim, exchange):
        def finalize(finished: AdmittedRequest, outcome: Outcome) -> None:
            self.claims.record_outcome(claim, outcome)
            self.finalizer.finalize(finished, outcome)

        claimed = replace(request, start_by=claim.start_by)
        self.dispatcher.submit(claimed, exchange.detach(), finalize)


def _replay(outcome, exchange):
    headers = [
        Header(VERDICT_HEADER, Verdict.RAN.value),
        Header(REQUEST_ID_HEADER, outcome.request_id),
        Header(REPLAYED_HEADER, "true" if outcome.body_kept else "status-only"),
    ]
    if outcome.content_type:
        headers.append(Header("Content-Type", outcome.content_type))
    exchange.respond(outcome.status, headers, outcome.body)
