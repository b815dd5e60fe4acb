"""Calls made after a request has ended, on separate thread pools.

They block neither the event loop nor a dispatch thread.
"""

import contextlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from cassiaford.pipeline._forward import cancel_request
from cassiaford.pipeline._http_responses import refusal_response
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._messages import AdmittedRequest, Outcome
from cassiaford.verdict import Refusal

OUTCOME_THREADS = 4
CANCEL_THREADS = 2
# Cancellations beyond this number are dropped: the server sees that its
# connection was closed.
MAX_PENDING_CANCELS = 256

OutcomeCallback = Callable[[AdmittedRequest, Outcome], None]


class BackgroundCalls:
    """Reports outcomes and cancels requests at engines.

    `report_fault` is called with each exception that an outcome callback raises.
    """

    def __init__(
        self,
        credential: str,
        timeout_s: float,
        report_fault: Callable[[BaseException], None],
    ):
        self.credential = credential
        self.timeout_s = timeout_s
        self.report_fault = report_fault
        self.outcome_executor = ThreadPoolExecutor(OUTCOME_THREADS, "settle")
        self.cancel_executor = ThreadPoolExecutor(CANCEL_THREADS, "cancel")
        self.pending_cancels = 0

    def report_outcome(
        self, request: AdmittedRequest, on_finished: OutcomeCallback, outcome: Outcome
    ) -> None:
        """Report an outcome on a background thread."""
        self.outcome_executor.submit(
            self.report_outcome_now, request, on_finished, outcome
        )

    def report_outcome_now(
        self, request: AdmittedRequest, on_finished: OutcomeCallback, outcome: Outcome
    ) -> None:
        """Report an outcome on the calling thread."""
        try:
            on_finished(request, outcome)
        except Exception as error:
            self.report_fault(error)

    def refuse(self, job: Job, refusal: Refusal) -> None:
        """Refuse a job that was submitted while the event loop is not running."""
        with contextlib.suppress(OSError):
            job.caller.send(refusal_response(refusal, job.request.request_id))
        job.caller.close()
        outcome = Outcome(refusal.verdict, refusal.reason.status, refusal=refusal)
        self.report_outcome_now(job.request, job.on_finished, outcome)

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request at an engine in the background, unless too many wait."""
        if self.pending_cancels >= MAX_PENDING_CANCELS:
            return
        self.pending_cancels += 1
        self.cancel_executor.submit(self._cancel, address, request_id)

    def stop(self) -> None:
        """Finish all reports and drop the cancellations not yet sent."""
        self.outcome_executor.shutdown()
        self.cancel_executor.shutdown(cancel_futures=True)

    def _cancel(self, address, request_id):
        try:
            cancel_request(address, request_id, self.credential, self.timeout_s)
        finally:
            self.pending_cancels -= 1
