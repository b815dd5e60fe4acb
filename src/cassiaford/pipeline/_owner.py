"""What an exchange asks of the dispatcher and tells it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford.pipeline._job import Job
from cassiaford.pipeline._messages import Outcome
from cassiaford.policy import Failure, RetryDecision
from cassiaford.verdict import Refusal


class ExchangeOwner(ABC):
    """Decides about the attempts of exchanges and keeps the accounts."""

    clock: Callable[[], float]

    @abstractmethod
    def decide_retry(self, job: Job) -> RetryDecision:
        """Return whether a job may be sent to another server."""

    @abstractmethod
    def requeue(self, job: Job) -> Refusal | None:
        """Send a job again, or return why it cannot be sent."""

    @abstractmethod
    def server_failed(self, job: Job, failure: Failure) -> None:
        """Take note of what a failure says about the job's server."""

    @abstractmethod
    def server_left(self, job: Job, answered: bool) -> None:
        """Take note that a job no longer runs on its server."""

    @abstractmethod
    def hold_server(self, job: Job, wait_s: float) -> None:
        """Take note that the job's server asked to be left alone."""

    @abstractmethod
    def cancel(self, job: Job) -> None:
        """Stop the job's work at its engine."""

    @abstractmethod
    def first_byte(self, job: Job) -> None:
        """Take note that the answer's body has begun."""

    @abstractmethod
    def settled(self, job: Job, outcome: Outcome) -> None:
        """Take note of how a job ended; called once for each job."""

    @abstractmethod
    def caller_left(self, job: Job) -> None:
        """Take note that the caller left before its answer was complete."""

    @abstractmethod
    def over(self, job: Job) -> None:
        """Take note that a job is settled and its caller's connection closed."""

    @abstractmethod
    def fault(self, error: BaseException | None) -> None:
        """Take note of an error that nothing was prepared for."""
