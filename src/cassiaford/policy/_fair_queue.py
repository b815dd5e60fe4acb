"""Short bounded queues, fair between customers and between service classes."""

import heapq
from collections.abc import Callable

from cassiaford.policy._class_queue import ClassQueue
from cassiaford.policy._drain_rate import DrainRate
from cassiaford.policy._queue import RequestQueue, Ticket
from cassiaford.verdict import Refusal, RefusalReason, refuse

INTERACTIVE = "interactive"
STANDARD = "standard"
BATCH = "batch"
# Most urgent first.
SERVICE_CLASSES = (INTERACTIVE, STANDARD, BATCH)
# A class that was passed over for this long gets one turn.
PATIENCE_S = {STANDARD: 2.0, BATCH: 5.0}
DEFAULT_LENGTH = 64
# Retry-After while the rate at which the queue drains is not known.
UNKNOWN_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def create_fair_queue(length: int = DEFAULT_LENGTH) -> "FairQueue":
    """Return a queue of at most `length` requests a customer and class."""
    return FairQueue(length)


class FairQueue(RequestQueue):
    """Keeps a short queue for each customer and service class.

    A more urgent class goes first, so that a quick check never waits behind
    long work; a class that was passed over for its patience gets one turn, so
    that no class starves. In a class, customers share by tokens. A request
    that would miss its deadline is refused at once.

    Examples
    --------
    >>> queue = create_fair_queue()
    >>> queue.offer(Ticket("r1", "customer-1", "batch", 4000, 9.0), 0.0)
    >>> queue.offer(Ticket("r2", "customer-1", "interactive", 900, 9.0), 0.0)
    >>> queue.take(0.1, lambda ticket: True).request_id
    'r2'
    """

    def __init__(self, length: int):
        self.length = length
        self.drain_rate = DrainRate()
        self._classes = {name: ClassQueue() for name in SERVICE_CLASSES}
        self._tickets = {}
        self._deadlines = []
        self._expired = []
        self._passed_over_since = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Take a request in, or refuse it as not run.

        Raises `ValueError` for an unknown service class or an identifier that
        waits already.
        """
        if ticket.service_class not in self._classes:
            raise ValueError(f"unknown service class {ticket.service_class!r}")
        if ticket.request_id in self._tickets:
            raise ValueError(f"request {ticket.request_id!r} waits already")
        refusal = self._refusal(ticket, now)
        if refusal is None:
            self._insert(ticket, now)
        return refusal

    def take(self, now: float, may_dispatch: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next request that may be dispatched.

        `may_dispatch` is asked only for a request whose turn it is, and the
        first one that it agrees to is returned.
        """
        self._set_expired_aside(now)
        for name in self._order(now):
            ticket = self._classes[name].take(may_dispatch)
            if ticket is not None:
                self._taken(ticket, now)
                return ticket
        if self._tickets:
            self.drain_rate.blocked(now)
        return None

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the requests whose deadline has passed."""
        self._set_expired_aside(now)
        expired, self._expired = self._expired, []
        return tuple(expired)

    def discard(self, request_id: str) -> None:
        """Remove a request whose caller has left, if it waits here."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            self._classes[ticket.service_class].remove(ticket)
        if 2 * len(self._tickets) + self.length < len(self._deadlines):
            self._rebuild_deadlines()

    def expected_wait_s(self, ticket: Ticket) -> float | None:
        """Return how long a request would wait, or None if that is not known."""
        ahead = 0
        for name in SERVICE_CLASSES:
            queue = self._classes[name]
            if name == ticket.service_class:
                ahead += queue.tokens_before(ticket.customer)
                break
            ahead += queue.tokens
        if not ahead:
            return 0.0
        rate = self.drain_rate.tokens_per_s
        return None if not rate else ahead / rate

    def _refusal(self, ticket: Ticket, now: float) -> Refusal | None:
        wait_s = self.expected_wait_s(ticket)
        queue = self._classes[ticket.service_class]
        if queue.length(ticket.customer) >= self.length:
            return refuse(
                RefusalReason.QUEUE_FULL,
                "too many requests of this customer and class wait already",
                _bounded(wait_s, self.length),
            )
        if now + (wait_s or 0.0) <= ticket.deadline:
            return None
        return refuse(
            RefusalReason.DEADLINE,
            "the request would not be dispatched before its deadline",
            _bounded(wait_s, 1),
        )

    def _set_expired_aside(self, now: float) -> None:
        # Kept for the next call of expire, so that each is answered for.
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            ticket = self._tickets.get(request_id)
            if ticket is not None and ticket.deadline <= now:
                self.discard(request_id)
                self._expired.append(ticket)
        if not self._tickets:
            self.drain_rate.emptied(now)

    def _insert(self, ticket: Ticket, now: float) -> None:
        queue = self._classes[ticket.service_class]
        if not queue:
            self._passed_over_since[ticket.service_class] = now
        queue.append(ticket)
        self._tickets[ticket.request_id] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.request_id))

    def _taken(self, ticket: Ticket, now: float) -> None:
        del self._tickets[ticket.request_id]
        self._passed_over_since[ticket.service_class] = now
        self.drain_rate.took(ticket.tokens, now)
        if not self._tickets:
            self.drain_rate.emptied(now)

    def _order(self, now: float) -> list[str]:
        waiting = [name for name in SERVICE_CLASSES if self._classes[name]]
        impatient = [name for name in waiting if self._is_impatient(name, now)]
        return impatient + [name for name in waiting if name not in impatient]

    def _is_impatient(self, name: str, now: float) -> bool:
        patience_s = PATIENCE_S.get(name)
        if patience_s is None:
            return False
        return now - self._passed_over_since[name] >= patience_s

    def _rebuild_deadlines(self) -> None:
        tickets = self._tickets.values()
        self._deadlines = [(ticket.deadline, ticket.request_id) for ticket in tickets]
        heapq.heapify(self._deadlines)


def _bounded(wait_s: float | None, requests: int) -> float:
    if wait_s is None:
        return UNKNOWN_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s / requests))
