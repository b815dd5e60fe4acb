"""Several share books in virtual time, with the failures of a fleet.

Messages between instances may be lost, doubled, delayed and reordered;
instances crash and restart, pause, or are cut off; the key-value service has
outages. All of it comes from one seed.
"""

import heapq
import random
from dataclasses import dataclass, field

from cassiaford.fleet._rates import MAX_CHARGE_WAIT_S
from cassiaford.policy import Bucket, Holder, Ledger, Limit, RateShares

CUSTOMER = "academy"
TICK_S = 0.05
LEDGER_S = 0.5
CALL_S = 0.004
# The platform's list drops an instance this long after it died.
LIST_LAG_S = 10.0
LEASE_TTL_S = 10.0
RESTART_S = 3.0


@dataclass
class Network:
    """How messages between instances fare."""

    one_way_s: float = 0.0015
    loss: float = 0.0
    doubling: float = 0.0
    jitter_s: float = 0.0005


@dataclass
class Node:
    """One instance; the book is None while it is down."""

    name: str
    book: RateShares | None = None
    incarnation: int = 0
    paused_until: float = 0.0
    inbox: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    heard_at: float = 0.0


@dataclass
class Waiting:
    """A charge that waits for tokens from other instances."""

    tokens: float
    arrived_at: float
    deadline: float


class Meter:
    """What a single bucket of the whole fleet would have allowed.

    `worst` is the least level of a bucket that takes whatever the fleet
    admits: below zero, some span saw more than burst + rate * span. `oracle`
    admits what a limiter with perfect knowledge would.
    """

    def __init__(self, limit):
        self.admitted = Bucket(limit.rate, limit.burst, limit.burst, 0.0)
        self.oracle = Bucket(limit.rate, limit.burst, limit.burst, 0.0)
        self.worst = limit.burst
        self.offered = 0
        self.refused = 0
        self.wrongful = 0

    def admit(self, tokens, now):
        """Count a request that the fleet admitted."""
        self.admitted.advance(now)
        self.admitted.level -= tokens
        self.worst = min(self.worst, self.admitted.level)

    def offer(self, tokens, now):
        """Return whether the oracle admits a request."""
        self.offered += 1
        return self.oracle.take(tokens, now)

    def refuse(self, deserved):
        """Count a refusal; `deserved` if the oracle admitted it."""
        self.refused += 1
        self.wrongful += deserved


class Fleet:
    """Instances that share one customer's rate."""

    def __init__(
        self,
        seed,
        size=7,
        limit=None,
        owners=3,
        network=None,
        lending=True,
        ttl=None,
        charge_wait_s=MAX_CHARGE_WAIT_S,
    ):
        self.rng = random.Random(seed)
        self.limit = limit or Limit(10_000.0, 20_000.0)
        self.owners = owners
        self.network = network or Network()
        self.lending = lending
        self.ttl = ttl
        self.charge_wait_s = charge_wait_s
        self.now = 0.0
        self.sequence = 0
        self.events = []
        self.ledger = Ledger()
        self.service_down = False
        self.cut = set()
        self.messages = 0
        self.ledger_writes = 0
        self.meter = Meter(self.limit)
        self.nodes = {f"entry-{n}": Node(f"entry-{n}") for n in range(1, size + 1)}
        for node in self.nodes.values():
            self.start(node)

    def at(self, when, action):
        """Do something at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action))

    def run(self, until):
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    # Instances.

    def start(self, node):
        """Start an instance in a new incarnation."""
        node.incarnation += 1
        node.book = RateShares(node.name, node.incarnation, self.now, self.owners)
        node.book.configure({CUSTOMER: self.limit}, self.now)
        node.heard_at = self.now
        for other in self.nodes.values():
            if other.book is not None:
                other.book.mark_gone(node.name, node.incarnation - 1)
        book = node.book
        self.keep_ledger(node, book)
        self.tick(node, book)

    def crash(self, node, restart=True):
        """End an instance; it may be restarted soon."""
        holder = node.book.holder
        node.book = None
        node.inbox.clear()
        node.waiting.clear()
        lag = LIST_LAG_S if self.ttl is None else self.ttl
        self.at(self.now + lag, lambda: self.drop_from_list(holder))
        if restart:
            self.at(self.now + RESTART_S, lambda: node.book or self.start(node))

    def drop_from_list(self, holder):
        """Have the list drop an incarnation, which is gone then."""
        for node in self.nodes.values():
            if node.book is not None and node.book.holder != holder:
                node.book.mark_gone(holder.instance, holder.incarnation)

    def pause(self, node, seconds):
        """Stop an instance for a while; the list may drop it meanwhile."""
        node.paused_until = self.now + seconds
        if node.book is not None and seconds > LIST_LAG_S:
            holder = node.book.holder
            self.at(self.now + LIST_LAG_S, lambda: self.drop_from_list(holder))

    def paused(self, node):
        """Return whether an instance is stopped."""
        return self.now < node.paused_until

    def tick(self, node, book):
        """Do what is due, now and again."""
        if node.book is not book:
            return
        self.at(self.now + TICK_S, lambda: self.tick(node, book))
        if self.paused(node):
            return
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.receive(node, sender, message)
        self.send(node, book.tick(self.now, self.nodes))
        self.expire(node)
        self.retry_waiting(node)

    def keep_ledger(self, node, book):
        """Read the ledger and write it where need be."""
        if node.book is not book:
            return
        self.at(self.now + LEDGER_S, lambda: self.keep_ledger(node, book))
        reachable = not self.service_down and node.name not in self.cut
        if self.paused(node) or not reachable:
            self.expire(node)
            return
        node.heard_at = self.now
        read, began = self.ledger, self.now
        self.at(self.now + CALL_S, lambda: self.on_ledger(node, book, read, began))

    def on_ledger(self, node, book, read, began):
        """Take in the ledger; an answer is lost now and then."""
        if node.book is not book or self.paused(node):
            return
        book.apply_service_ledger(read, began, self.now)
        wanted = book.next_ledger()
        if wanted is None or wanted.epoch != self.ledger.epoch + 1:
            return
        self.ledger_writes += 1
        self.ledger = wanted
        if self.rng.random() < 0.9:
            book.apply_service_ledger(wanted, began, self.now)

    def expire(self, node):
        """Stop using shares that were not renewed, where they expire."""
        if self.ttl is not None and self.now > node.heard_at + self.ttl:
            node.book.suspended = True

    # Messages.

    def send(self, node, sends):
        """Send messages over the network."""
        for item in sends:
            self.messages += 1
            copies = 1 + (self.rng.random() < self.network.doubling)
            if self.rng.random() < self.network.loss:
                copies = 0
            for _ in range(copies):
                delay = self.network.one_way_s
                delay += self.rng.expovariate(1.0 / self.network.jitter_s)
                sender = node.book.holder
                self.at(
                    self.now + delay,
                    lambda s=sender, i=item: self.deliver(s, i),
                )

    def deliver(self, sender, item):
        """Deliver a message, unless something is in the way."""
        node = self.nodes[item.instance]
        separated = (node.name in self.cut) != (sender.instance in self.cut)
        if node.book is None or separated:
            return
        if self.paused(node):
            node.inbox.append((sender, item.message))
        else:
            self.receive(node, sender, item.message)
            self.retry_waiting(node)

    def receive(self, node, sender: Holder, message):
        """Hand a message to a book and send its answers."""
        self.send(node, node.book.receive(sender, message, self.now))
        self.expire(node)

    # Requests.

    def request(self, node, tokens):
        """Let a caller send a request to an instance."""
        deserved = self.meter.offer(tokens, self.now)
        if node.book is None or self.paused(node):
            # The caller goes to another instance.
            live = [n for n in self.nodes.values() if n.book and not self.paused(n)]
            if not live:
                return
            node = self.rng.choice(live)
        if not self.charge(node, tokens):
            self.await_tokens(node, tokens, deserved)

    def charge(self, node, tokens):
        """Return whether the instance holds enough."""
        charged = node.book.charge(CUSTOMER, tokens, self.now)
        if charged:
            self.meter.admit(tokens, self.now)
        return charged

    def await_tokens(self, node, tokens, deserved):
        """Hold a charge that lacks tokens while it may yet get them."""
        deadline = self.now + self.charge_wait_s
        node.waiting.append((tokens, deserved, deadline))
        self.at(deadline, lambda: self.retry_waiting(node))
        self.retry_waiting(node)

    def retry_waiting(self, node):
        """Charge what waits, ask again, or refuse."""
        waiting, node.waiting = node.waiting, []
        for tokens, deserved, deadline in waiting:
            if node.book is None or self.paused(node):
                self.meter.refuse(deserved)
            elif self.charge(node, tokens):
                continue
            elif self.may_get(node, tokens) and self.now < deadline:
                node.waiting.append((tokens, deserved, deadline))
            else:
                self.meter.refuse(deserved)

    def may_get(self, node, tokens):
        """Return whether tokens may still come, having asked for them."""
        if not self.lending:
            return False
        if not node.book.awaits_reply(CUSTOMER, self.now):
            self.send(node, node.book.request_loans(CUSTOMER, tokens, self.now))
        return node.book.awaits_reply(CUSTOMER, self.now)

    def offer_load(self, load, tokens, until, weights=None):
        """Offer requests of a mean size at a multiple of the rate."""
        names = list(self.nodes)
        weights = weights or [1.0] * len(names)
        gap = tokens / (self.limit.rate * load)

        def arrive():
            if self.now > until:
                return
            node = self.nodes[self.rng.choices(names, weights)[0]]
            size = self.rng.uniform(0.5, 1.5) * tokens
            self.request(node, size)
            self.at(self.now + self.rng.expovariate(1.0 / gap), arrive)

        self.at(self.now, arrive)
