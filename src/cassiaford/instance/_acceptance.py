"""Accept: claim a request that runs at most once, then hand it over."""

import time
from collections.abc import Callable
from dataclasses import replace

from cassiaford.fleet import ClaimService
from cassiaford.instance._fingerprint import fingerprint
from cassiaford.instance._http import Exchange
from cassiaford.pipeline import AdmittedRequest, Dispatcher, Header, Outcome
from cassiaford.pipeline._admit import IDEMPOTENCY_HEADER
from cassiaford.pipeline._finalize import RequestFinalizer
from cassiaford.pipeline._http_responses import REQUEST_ID_HEADER, VERDICT_HEADER
from cassiaford.policy import Claim, RecordedOutcome
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

MAX_IDEMPOTENCY_KEY_LENGTH = 255
REPLAYED_HEADER = "Idempotent-Replayed"


class Acceptor:
    """Hands admitted requests to the dispatcher, claimed where they must be."""

    def __init__(
        self,
        claims: ClaimService,
        dispatcher: Dispatcher,
        settler: RequestFinalizer,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.claims = claims
        self.dispatcher = dispatcher
        self.settler = settler
        self.clock = clock

    def accept(self, request: AdmittedRequest, exchange: Exchange) -> Refusal | None:
        """Take a request over; return a refusal if it must not run."""
        if request.repeatable:
            self.dispatcher.submit(request, exchange.detach(), self.settler.finalize)
            return None
        answer = self._claim(request)
        if isinstance(answer, Claim):
            self._submit_claimed(request, answer, exchange)
            return None
        self.settler.refund_all(request)
        if isinstance(answer, RecordedOutcome):
            _replay(answer, exchange)
            return None
        return answer

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
        def settle(settled: AdmittedRequest, outcome: Outcome) -> None:
            self.claims.record(claim, outcome)
            self.settler.finalize(settled, outcome)

        claimed = replace(request, start_by=claim.start_by)
        self.dispatcher.submit(claimed, exchange.detach(), settle)


def _replay(outcome, exchange):
    headers = [
        Header(VERDICT_HEADER, Verdict.RAN.value),
        Header(REQUEST_ID_HEADER, outcome.request_id),
        Header(REPLAYED_HEADER, "true" if outcome.body_kept else "status-only"),
    ]
    if outcome.content_type:
        headers.append(Header("Content-Type", outcome.content_type))
    exchange.answer(outcome.status, headers, outcome.body)
