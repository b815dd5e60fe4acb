"""The interface through which exchanges use the dispatcher."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford.pipeline._job import Job
from cassiaford.pipeline._messages import Outcome
from cassiaford.policy import Failure, RetryDecision
from cassiaford.verdict import Refusal


class ExchangeOwner(ABC):
    """Decides on the attempts of exchanges and tracks their servers and outcomes."""

    clock: Callable[[], float]

    @abstractmethod
    def decide_retry(self, job: Job) -> RetryDecision:
        """Return whether a job may be sent to another server."""

    @abstractmethod
    def may_continue(self, job: Job) -> bool:
        """Return whether the job's server, as configured now, fits its stream."""

    @abstractmethod
    def requeue(self, job: Job) -> Refusal | None:
        """Queue a job for another attempt, or return why that is refused."""

    @abstractmethod
    def record_server_failure(self, job: Job, failure: Failure) -> None:
        """Record an attempt's failure against the job's server."""

    @abstractmethod
    def release_server(self, job: Job, answered: bool) -> None:
        """Record that a job no longer runs on its server.

        `answered` is whether the server sent a complete response.
        """

    @abstractmethod
    def back_off_server(self, job: Job, wait_s: float) -> None:
        """Send the job's server no new requests for the time that it asked for."""

    @abstractmethod
    def cancel(self, job: Job) -> None:
        """Cancel the job's request at its engine."""

    @abstractmethod
    def record_first_byte(self, job: Job) -> None:
        """Record the first byte of the response body."""

    @abstractmethod
    def record_outcome(self, job: Job, outcome: Outcome) -> None:
        """Record the outcome of a job; called once for each job."""

    @abstractmethod
    def record_caller_left(self, job: Job) -> None:
        """Record that the caller disconnected before its response was complete."""

    @abstractmethod
    def remove_job(self, job: Job) -> None:
        """Remove a finalized job whose caller's connection is closed."""

    @abstractmethod
    def record_fault(self, error: BaseException | None) -> None:
        """Record an unexpected error."""
