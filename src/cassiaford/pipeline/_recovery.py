"""Decisions on whether another attempt can continue a partly sent response."""

from cassiaford.pipeline._body import BodyRelay, EventStreamRelay
from cassiaford.pipeline._job import Job
from cassiaford.policy import Failure, may_resume


def can_resume(job: Job, body: BodyRelay | None, failure: Failure) -> bool:
    """Return whether the same server can resume a broken stream."""
    if body is not None and not isinstance(body, EventStreamRelay):
        return False
    return may_resume(job.broken_stream(), failure)


def can_replay(job: Job, body: BodyRelay | None, response_started: bool) -> bool:
    """Return whether a new run can continue the response sent to the caller."""
    if not response_started and job.progress.received == 0:
        return True
    if not isinstance(body, EventStreamRelay) and body is not None:
        return False
    return bool(job.progress.history) and not job.progress.complete
