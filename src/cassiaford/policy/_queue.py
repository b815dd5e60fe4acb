"""The queue of requests that wait for a backend server."""

import collections
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.verdict import Refusal, RefusalReason, refuse


@dataclass(frozen=True)
class Ticket:
    """A request's place in the queue.

    `tokens` is the number of tokens charged for the request; `deadline` is the
    latest time, in seconds on the monotonic clock, at which it may be sent.
    """

    request_id: str
    customer: str
    service_class: str
    tokens: int
    deadline: float


class RequestQueue(ABC):
    """Decides in which order waiting requests are sent."""

    @abstractmethod
    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Queue a ticket, or return its refusal."""

    @abstractmethod
    def take(self, now: float, may_dispatch: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next ticket that may be sent now, if any.

        `may_dispatch` returns whether some backend server can take a request.
        """

    @abstractmethod
    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the tickets whose deadline has passed."""

    @abstractmethod
    def discard(self, request_id: str) -> None:
        """Remove the ticket of a request whose caller has left, if it is queued."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of queued tickets."""


class FifoQueue(RequestQueue):
    """A bounded queue in order of arrival.

    A request that no server can take now does not block those behind it.

    Examples
    --------
    >>> queue = FifoQueue(capacity=1, wait_s=2.0)
    >>> queue.offer(Ticket("a", "academy", "standard", 10, 5.0), now=0.0)
    >>> queue.offer(Ticket("b", "academy", "standard", 10, 5.0), now=0.0).reason
    <RefusalReason.QUEUE_FULL: ('queue_full', 503, 'overloaded_error')>
    """

    def __init__(self, capacity: int, wait_s: float):
        self.capacity = capacity
        self.wait_s = wait_s
        self.tickets = collections.deque()

    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Queue a ticket unless the queue is full."""
        if len(self.tickets) >= self.capacity:
            return refuse(
                RefusalReason.QUEUE_FULL, "too many requests are queued", self.wait_s
            )
        self.tickets.append(ticket)
        return None

    def take(self, now: float, may_dispatch: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the oldest ticket that may be sent."""
        for ticket in self.tickets:
            if ticket.deadline > now and may_dispatch(ticket):
                self.tickets.remove(ticket)
                return ticket
        return None

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the tickets whose deadline has passed."""
        expired = tuple(t for t in self.tickets if t.deadline <= now)
        for ticket in expired:
            self.tickets.remove(ticket)
        return expired

    def discard(self, request_id: str) -> None:
        """Remove the ticket of a request whose caller has left, if it is queued."""
        for ticket in self.tickets:
            if ticket.request_id == request_id:
                self.tickets.remove(ticket)
                return

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self.tickets)
