"""What the dispatcher asks of the queue before it."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.verdict import Refusal


@dataclass(frozen=True)
class Ticket:
    """A request that waits to be dispatched.

    `service_class` is the name of its class, `tokens` its prompt and
    permitted output, `deadline` the latest time for its dispatch.
    """

    request_id: str
    customer: str
    service_class: str
    tokens: int
    deadline: float


class RequestQueue(ABC):
    """Keeps requests that wait for a backend server and says whose turn it is."""

    @abstractmethod
    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Take a request in, or refuse it."""

    @abstractmethod
    def take(self, now: float, may_dispatch: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next request that may be dispatched."""

    @abstractmethod
    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the requests whose deadline has passed."""

    @abstractmethod
    def discard(self, request_id: str) -> None:
        """Remove a request whose caller has left, if it is here."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of requests that wait."""
