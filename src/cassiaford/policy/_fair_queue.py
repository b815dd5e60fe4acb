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
# A class that was skipped for this long gets one turn.
MAX_SKIPPED_S = {STANDARD: 2.0, BATCH: 5.0}
DEFAULT_MAX_LENGTH = 64
# The Retry-After value while the drain rate is unknown.
DEFAULT_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def create_fair_queue(length: int = DEFAULT_MAX_LENGTH) -> "FairQueue":
    """Return a queue of at most `length` requests per customer and class."""
    return FairQueue(length)


class FairQueue(RequestQueue):
    """A short queue for each customer and service class.

    A more urgent class goes first, so that a quick check never waits behind
    long work. A class that was skipped for its limit in `MAX_SKIPPED_S` gets
    one turn, so that no class starves. Within a class, customers get equal
    shares in tokens. A request that would miss its deadline is refused at once.

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
        self._skipped_since = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def offer(self, ticket: Ticket, now: float) -> Refusal | None:
        """Queue a request, or return its refusal as not run.

        Raises `ValueError` for an unknown service class or the identifier of a
        request that is queued already.
        """
        if ticket.service_class not in self._classes:
            raise ValueError(f"unknown service class {ticket.service_class!r}")
        if ticket.request_id in self._tickets:
            raise ValueError(f"request {ticket.request_id!r} is already queued")
        refusal = self._refusal(ticket, now)
        if refusal is None:
            self._insert(ticket, now)
        return refusal

    def take(self, now: float, may_dispatch: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next request that may be dispatched.

        `may_dispatch` is called only for requests whose turn it is; the first
        one that it accepts is returned.
        """
        self._collect_expired(now)
        for name in self._order(now):
            ticket = self._classes[name].take(may_dispatch)
            if ticket is not None:
                self._record_dispatch(ticket, now)
                return ticket
        if self._tickets:
            self.drain_rate.record_blocked(now)
        return None

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the requests whose deadline has passed."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return tuple(expired)

    def discard(self, request_id: str) -> None:
        """Remove a request whose caller has left, if it is queued."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            self._classes[ticket.service_class].remove(ticket)
        if 2 * len(self._tickets) + self.length < len(self._deadlines):
            self._rebuild_deadlines()

    def expected_wait_s(self, ticket: Ticket) -> float | None:
        """Return how long a request would wait, or None if that is unknown."""
        tokens_ahead = 0
        for name in SERVICE_CLASSES:
            queue = self._classes[name]
            if name == ticket.service_class:
                tokens_ahead += queue.tokens_before(ticket.customer)
                break
            tokens_ahead += queue.tokens
        if not tokens_ahead:
            return 0.0
        rate = self.drain_rate.tokens_per_s
        return None if not rate else tokens_ahead / rate

    def _refusal(self, ticket: Ticket, now: float) -> Refusal | None:
        wait_s = self.expected_wait_s(ticket)
        queue = self._classes[ticket.service_class]
        if queue.length(ticket.customer) >= self.length:
            return refuse(
                RefusalReason.QUEUE_FULL,
                "too many requests of this customer and class are queued",
                _retry_after_s(wait_s, self.length),
            )
        if now + (wait_s or 0.0) <= ticket.deadline:
            return None
        return refuse(
            RefusalReason.DEADLINE,
            "the request would not be dispatched before its deadline",
            _retry_after_s(wait_s, 1),
        )

    def _collect_expired(self, now: float) -> None:
        # The next call of `expire` returns them, so that each gets a response.
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            ticket = self._tickets.get(request_id)
            if ticket is not None and ticket.deadline <= now:
                self.discard(request_id)
                self._expired.append(ticket)
        if not self._tickets:
            self.drain_rate.record_empty(now)

    def _insert(self, ticket: Ticket, now: float) -> None:
        queue = self._classes[ticket.service_class]
        if not queue:
            self._skipped_since[ticket.service_class] = now
        queue.append(ticket)
        self._tickets[ticket.request_id] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.request_id))

    def _record_dispatch(self, ticket: Ticket, now: float) -> None:
        del self._tickets[ticket.request_id]
        self._skipped_since[ticket.service_class] = now
        self.drain_rate.record_dispatch(ticket.tokens, now)
        if not self._tickets:
            self.drain_rate.record_empty(now)

    def _order(self, now: float) -> list[str]:
        waiting = [name for name in SERVICE_CLASSES if self._classes[name]]
        overdue = [name for name in waiting if self._is_overdue(name, now)]
        return overdue + [name for name in waiting if name not in overdue]

    def _is_overdue(self, name: str, now: float) -> bool:
        max_skipped_s = MAX_SKIPPED_S.get(name)
        if max_skipped_s is None:
            return False
        return now - self._skipped_since[name] >= max_skipped_s

    def _rebuild_deadlines(self) -> None:
        tickets = self._tickets.values()
        self._deadlines = [(ticket.deadline, ticket.request_id) for ticket in tickets]
        heapq.heapify(self._deadlines)


def _retry_after_s(wait_s: float | None, requests: int) -> float:
    if wait_s is None:
        return DEFAULT_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s / requests))
