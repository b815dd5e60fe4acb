"""The queue of one service class, with fair shares for customers."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaford.policy._queue import Ticket

# The tokens that a customer's deficit counter gains in each round.
QUANTUM_TOKENS = 16_384


@dataclass
class CustomerQueue:
    """One customer's requests in the order of arrival."""

    tickets: OrderedDict[str, Ticket] = field(default_factory=OrderedDict)
    tokens: int = 0
    deficit: int = 0

    @property
    def head(self) -> Ticket:
        """The request that arrived first."""
        return next(iter(self.tickets.values()))


class ClassQueue:
    """Serves customers by deficit round robin in tokens.

    The scheme is that of Shreedhar and Varghese, "Efficient Fair Queuing
    Using Deficit Round Robin", 1995. A customer whose first request cannot be
    dispatched now keeps its deficit and does not delay the others.
    """

    def __init__(self):
        self.customers = OrderedDict()
        self.tokens = 0

    def __bool__(self) -> bool:
        return bool(self.customers)

    def length(self, customer: str) -> int:
        """Return the number of a customer's queued requests."""
        queue = self.customers.get(customer)
        return len(queue.tickets) if queue else 0

    def tokens_before(self, customer: str) -> int:
        """Return an upper bound of the tokens ahead of a customer's next request."""
        queue = self.customers.get(customer)
        if queue is None:
            return min(self.tokens, len(self.customers) * QUANTUM_TOKENS)
        return min(self.tokens, queue.tokens * len(self.customers))

    def append(self, ticket: Ticket) -> None:
        """Add a request after its customer's others."""
        queue = self.customers.setdefault(ticket.customer, CustomerQueue())
        queue.tickets[ticket.request_id] = ticket
        queue.tokens += ticket.tokens
        self.tokens += ticket.tokens

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; reset the deficit of a customer that has none left."""
        queue = self.customers[ticket.customer]
        del queue.tickets[ticket.request_id]
        queue.tokens -= ticket.tokens
        self.tokens -= ticket.tokens
        if not queue.tickets:
            del self.customers[ticket.customer]

    def take(self, may_dispatch: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next request that may be dispatched."""
        dispatchable = {}
        while not self._none_dispatchable(dispatchable):
            customer, queue = next(iter(self.customers.items()))
            head = queue.head
            if dispatchable.get(customer) is False:
                self.customers.move_to_end(customer)
                continue
            if head.tokens > queue.deficit:
                queue.deficit += QUANTUM_TOKENS
                self.customers.move_to_end(customer)
                continue
            if customer not in dispatchable:
                dispatchable[customer] = may_dispatch(head)
            if dispatchable[customer]:
                queue.deficit -= head.tokens
                self.remove(head)
                return head
        return None

    def _none_dispatchable(self, dispatchable: dict[str, bool]) -> bool:
        return len(dispatchable) == len(self.customers) and not any(
            dispatchable.values()
        )
