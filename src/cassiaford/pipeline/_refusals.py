"""The refusals that the dispatcher sends, with the delay before a retry."""

from cassiaford.pipeline._job import Job
from cassiaford.policy import Failure
from cassiaford.verdict import Refusal, RefusalReason, Verdict, refuse

RETRY_AFTER_S = 1.0


def failure_refusal(job: Job, failure: Failure, retry_after_s: float | None) -> Refusal:
    """Return the refusal of a job whose last attempt is not retried."""
    verdict = job.verdict
    may_retry = verdict.may_retry(job.request.repeatable) and not failure.is_final
    wait_s = (retry_after_s or RETRY_AFTER_S) if may_retry else None
    return Refusal(_reason(verdict, failure), verdict, failure.text, wait_s)


def no_server_refusal(job: Job, wait_s: float) -> Refusal:
    """Return the refusal of a job that no backend server can run."""
    wait_s = max(wait_s, RETRY_AFTER_S)
    if job.last_failure is None:
        return refuse(
            RefusalReason.NO_BACKEND,
            "no backend server accepts this request now",
            wait_s,
        )
    text = f"{job.last_failure.text}; no other backend server is available"
    if job.origin is not None:
        text += f" of software version {job.origin.software_version}"
    return Refusal(_reason(job.verdict, job.last_failure), job.verdict, text, wait_s)


def deadline_refusal(job: Job, wait_s: float) -> Refusal:
    """Return the refusal of a job that waited until its deadline."""
    if job.last_failure is not None:
        return no_server_refusal(job, wait_s)
    return refuse(
        RefusalReason.DEADLINE, "no backend server was free before the deadline", wait_s
    )


def stopping_refusal(verdict: Verdict) -> Refusal:
    """Return the refusal of a job that is aborted because the process stops."""
    return Refusal(
        RefusalReason.STOPPING, verdict, "the instance is shutting down", RETRY_AFTER_S
    )


def _reason(verdict, failure):
    # An earlier attempt may have run, though the last one did not.
    if verdict is Verdict.MAY_HAVE_RUN and failure.verdict is Verdict.NOT_RUN:
        return RefusalReason.BACKEND_FAILED
    return failure.reason
