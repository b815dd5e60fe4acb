"""A simulated fleet that shares a customer's rate, with failures, in virtual time.

Messages between instances may be lost, duplicated, delayed and reordered.
Instances crash and restart, pause, or are partitioned from the others. The
key-value service has outages. One seed determines all of it.
"""

import heapq
import random
from dataclasses import dataclass, field

from cassiaford.fleet._rates import MAX_CHARGE_WAIT_S
from cassiaford.policy import Bucket, Holder, Ledger, Limit, RateShares

CUSTOMER = "academy"
TICK_INTERVAL_S = 0.05
LEDGER_INTERVAL_S = 0.5
SERVICE_CALL_S = 0.004
# The platform's instance list drops an instance this long after its crash.
LIST_LAG_S = 10.0
LEASE_TTL_S = 10.0
RESTART_S = 3.0


@dataclass
class Network:
    """Delay, loss and duplication of messages between instances."""

    one_way_s: float = 0.0015
    loss: float = 0.0
    duplication: float = 0.0
    jitter_s: float = 0.0005


@dataclass
class Node:
    """One instance; `shares` is None while it is down."""

    name: str
    shares: RateShares | None = None
    incarnation: int = 0
    paused_until: float = 0.0
    inbox: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    last_service_contact_at: float = 0.0


@dataclass
class Waiting:
    """A charge that waits for tokens lent by other instances."""

    tokens: float
    arrived_at: float
    deadline: float


class Meter:
    """Comparison of the fleet's decisions with a single token bucket.

    `min_level` is the lowest level of a bucket that is charged with every request
    the fleet admits: if it is below zero, more than burst + rate * span was admitted
    in some span. `oracle` admits what a limiter with perfect knowledge would.
    """

    def __init__(self, limit):
        self.admitted = Bucket(limit.rate, limit.burst, limit.burst, 0.0)
        self.oracle = Bucket(limit.rate, limit.burst, limit.burst, 0.0)
        self.min_level = limit.burst
        self.offered = 0
        self.refused = 0
        self.wrongful_refusals = 0

    def admit(self, tokens, now):
        """Count a request that the fleet admitted."""
        self.admitted.advance(now)
        self.admitted.level -= tokens
        self.min_level = min(self.min_level, self.admitted.level)

    def offer(self, tokens, now):
        """Return whether the oracle admits a request."""
        self.offered += 1
        return self.oracle.take(tokens, now)

    def refuse(self, oracle_admits):
        """Count a refusal, which is wrongful if the oracle admitted the request."""
        self.refused += 1
        self.wrongful_refusals += oracle_admits


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
        self.partitioned = set()
        self.messages = 0
        self.ledger_writes = 0
        self.meter = Meter(self.limit)
        self.nodes = {f"entry-{n}": Node(f"entry-{n}") for n in range(1, size + 1)}
        for node in self.nodes.values():
            self.start(node)

    def at(self, when, action):
        """Schedule an action at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action))

    def run(self, until):
        """Run the scheduled actions up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    # Instances.

    def start(self, node):
        """Start an instance in a new incarnation."""
        node.incarnation += 1
        node.shares = RateShares(node.name, node.incarnation, self.now, self.owners)
        node.shares.configure({CUSTOMER: self.limit}, self.now)
        node.last_service_contact_at = self.now
        for other in self.nodes.values():
            if other.shares is not None:
                other.shares.mark_gone(node.name, node.incarnation - 1)
        shares = node.shares
        self.poll_ledger(node, shares)
        self.tick(node, shares)

    def crash(self, node, restart=True):
        """Crash an instance; by default it restarts after `RESTART_S`."""
        holder = node.shares.holder
        node.shares = None
        node.inbox.clear()
        node.waiting.clear()
        lag = LIST_LAG_S if self.ttl is None else self.ttl
        self.at(self.now + lag, lambda: self.drop_from_list(holder))
        if restart:
            self.at(self.now + RESTART_S, lambda: node.shares or self.start(node))

    def drop_from_list(self, holder):
        """Remove an incarnation from the instance list, which marks it as gone."""
        for node in self.nodes.values():
            if node.shares is not None and node.shares.holder != holder:
                node.shares.mark_gone(holder.instance, holder.incarnation)

    def pause(self, node, seconds):
        """Pause an instance; the list drops it if that lasts beyond `LIST_LAG_S`."""
        node.paused_until = self.now + seconds
        if node.shares is not None and seconds > LIST_LAG_S:
            holder = node.shares.holder
            self.at(self.now + LIST_LAG_S, lambda: self.drop_from_list(holder))

    def is_paused(self, node):
        """Return whether an instance is paused."""
        return self.now < node.paused_until

    def tick(self, node, shares):
        """Do an instance's periodic work and schedule the next tick."""
        if node.shares is not shares:
            return
        self.at(self.now + TICK_INTERVAL_S, lambda: self.tick(node, shares))
        if self.is_paused(node):
            return
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.receive(node, sender, message)
        self.send(node, shares.tick(self.now, self.nodes))
        self.expire(node)
        self.retry_waiting(node)

    def poll_ledger(self, node, shares):
        """Read the ledger from the service periodically."""
        if node.shares is not shares:
            return
        self.at(self.now + LEDGER_INTERVAL_S, lambda: self.poll_ledger(node, shares))
        reachable = not self.service_down and node.name not in self.partitioned
        if self.is_paused(node) or not reachable:
            self.expire(node)
            return
        node.last_service_contact_at = self.now
        read, started_at = self.ledger, self.now
        self.at(
            self.now + SERVICE_CALL_S,
            lambda: self.on_ledger_read(node, shares, read, started_at),
        )

    def on_ledger_read(self, node, shares, read, started_at):
        """Apply the ledger read and write the next one; one response in ten is lost."""
        if node.shares is not shares or self.is_paused(node):
            return
        shares.apply_service_ledger(read, started_at, self.now)
        next_ledger = shares.next_ledger()
        if next_ledger is None or next_ledger.epoch != self.ledger.epoch + 1:
            return
        self.ledger_writes += 1
        self.ledger = next_ledger
        if self.rng.random() < 0.9:
            shares.apply_service_ledger(next_ledger, started_at, self.now)

    def expire(self, node):
        """Suspend shares that were not renewed in time, if shares expire."""
        if self.ttl is not None and self.now > node.last_service_contact_at + self.ttl:
            node.shares.suspended = True

    # Messages.

    def send(self, node, sends):
        """Send messages over the network."""
        for item in sends:
            self.messages += 1
            copies = 1 + (self.rng.random() < self.network.duplication)
            if self.rng.random() < self.network.loss:
                copies = 0
            for _ in range(copies):
                delay = self.network.one_way_s
                delay += self.rng.expovariate(1.0 / self.network.jitter_s)
                sender = node.shares.holder
                self.at(
                    self.now + delay,
                    lambda s=sender, i=item: self.deliver(s, i),
                )

    def deliver(self, sender, item):
        """Deliver a message unless its receiver is down or unreachable."""
        node = self.nodes[item.instance]
        is_partitioned = (node.name in self.partitioned) != (
            sender.instance in self.partitioned
        )
        if node.shares is None or is_partitioned:
            return
        if self.is_paused(node):
            node.inbox.append((sender, item.message))
        else:
            self.receive(node, sender, item.message)
            self.retry_waiting(node)

    def receive(self, node, sender: Holder, message):
        """Process a received message and send the replies."""
        self.send(node, node.shares.receive(sender, message, self.now))
        self.expire(node)

    # Requests.

    def request(self, node, tokens):
        """Process a caller's request to an instance."""
        oracle_admits = self.meter.offer(tokens, self.now)
        if node.shares is None or self.is_paused(node):
            # The caller retries at another instance.
            running = [
                n for n in self.nodes.values() if n.shares and not self.is_paused(n)
            ]
            if not running:
                return
            node = self.rng.choice(running)
        if not self.charge(node, tokens):
            self.await_tokens(node, tokens, oracle_admits)

    def charge(self, node, tokens):
        """Charge a request if enough tokens are available; return whether it did."""
        charged = node.shares.charge(CUSTOMER, tokens, self.now)
        if charged:
            self.meter.admit(tokens, self.now)
        return charged

    def await_tokens(self, node, tokens, oracle_admits):
        """Queue a charge that lacks tokens until its deadline."""
        deadline = self.now + self.charge_wait_s
        node.waiting.append((tokens, oracle_admits, deadline))
        self.at(deadline, lambda: self.retry_waiting(node))
        self.retry_waiting(node)

    def retry_waiting(self, node):
        """Charge queued requests, request loans for them again, or refuse them."""
        waiting, node.waiting = node.waiting, []
        for tokens, oracle_admits, deadline in waiting:
            if node.shares is None or self.is_paused(node):
                self.meter.refuse(oracle_admits)
            elif self.charge(node, tokens):
                continue
            elif self.request_loan(node, tokens) and self.now < deadline:
                node.waiting.append((tokens, oracle_admits, deadline))
            else:
                self.meter.refuse(oracle_admits)

    def request_loan(self, node, tokens):
        """Request a loan unless one is pending; return whether one may still arrive."""
        if not self.lending:
            return False
        if not node.shares.awaits_reply(CUSTOMER, self.now):
            self.send(node, node.shares.request_loans(CUSTOMER, tokens, self.now))
        return node.shares.awaits_reply(CUSTOMER, self.now)

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
