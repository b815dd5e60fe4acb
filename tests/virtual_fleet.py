"""A simulation of a fleet's membership on virtual time, with a faulty network."""

import heapq
import itertools
import random
from dataclasses import dataclass

from cassiaford.policy import (
    Member,
    MemberChanged,
    Membership,
    MemberState,
    PeerContact,
    SendMessage,
)

TICK_INTERVAL_S = 0.2
HEARTBEAT_INTERVAL_S = 1.0


@dataclass
class Faults:
    """The fractions of messages lost and duplicated, and the bounds of delays."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.003


@dataclass
class Node:
    """One instance; it neither ticks nor receives while `paused` or `down`."""

    membership: Membership
    down: bool = False
    paused: bool = False
    inbox: list = None
    last_contact_at: float = float("-inf")


class VirtualFleet:
    """Runs instances on virtual time; equal seeds give equal runs."""

    def __init__(self, seed, faults=None):
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.now = 0.0
        self.nodes = {}
        self.by_address = {}
        self.changes = []
        self.is_cut = lambda sender, receiver: False
        self.on_send = lambda sender, receiver, message: None
        self._events = []
        self._numbers = itertools.count()

    def start(self, name, seeds=(), incarnation=1, data_centre="cluj"):
        """Start an instance, or restart it with a higher incarnation."""
        address = _address(name)
        member = Member(name, incarnation, data_centre, address, address)
        membership = Membership(
            member,
            tuple(_address(seed) for seed in seeds),
            HEARTBEAT_INTERVAL_S,
            random.Random(f"{name}/{incarnation}/{self.rng.random()}"),
            self.now,
        )
        node = Node(membership, inbox=[])
        self.nodes[name] = node
        self.by_address[address] = name
        self._at(self.rng.random() * TICK_INTERVAL_S, lambda: self._tick(name, node))
        return node

    def run(self, seconds):
        """Advance the virtual time by a number of seconds."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition, limit_s):
        """Advance the time until a condition holds; return how long it took."""
        start = self.now
        while not condition():
            if self.now - start > limit_s:
                raise AssertionError(f"condition not met within {limit_s} s")
            self.run(TICK_INTERVAL_S)
        return self.now - start

    def kill(self, name):
        """Stop an instance without an announcement."""
        self.nodes[name].down = True

    def pause(self, name):
        """Pause an instance; messages to it are buffered."""
        self.nodes[name].paused = True

    def resume(self, name):
        """End a pause; timers run before the buffered messages are received."""
        node = self.nodes[name]
        node.paused = False
        self._tick(name, node)
        waiting, node.inbox = node.inbox, []
        for sender, message in waiting:
            self._receive(name, node, sender, message)

    def perform(self, name, action):
        """Call an action with one instance's membership and the current time."""
        node = self.nodes[name]
        self._act(name, node, action(node.membership, self.now))

    def running(self):
        """Return the names of the running instances."""
        return {name for name, node in self.nodes.items() if not node.down}

    def view(self, name):
        """Return the names of the members that an instance sees."""
        members = self.nodes[name].membership.members()
        return {member.instance for member in members}

    def agreed(self):
        """Return whether every running instance sees exactly the running ones."""
        return all(self.view(name) == self.running() for name in self.running())

    def deaths_of(self, name):
        """Return the changes in which an instance was declared dead."""
        return [
            update
            for _, _, update in self.changes
            if update.member.instance == name and update.state is MemberState.DEAD
        ]

    def _at(self, delay_s, action):
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def _tick(self, name, node):
        if node.down or node.paused:
            return
        self._act(name, node, node.membership.tick(self.now))
        self._at(TICK_INTERVAL_S, lambda: self._tick(name, node))

    def _act(self, name, node, actions):
        for action in actions:
            match action:
                case SendMessage():
                    self._send(name, node, action)
                case MemberChanged(update=update):
                    self.changes.append((self.now, name, update))
                case PeerContact(as_of=as_of) if as_of is not None:
                    node.last_contact_at = max(node.last_contact_at, as_of)

    def _send(self, name, node, action):
        receiver = action.instance or self.by_address.get(action.address)
        self.on_send(name, receiver, action.message)
        if receiver not in self.nodes or self.is_cut(name, receiver):
            return
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                self._deliver(name, receiver, action.message)

    def _deliver(self, name, receiver, message):
        delay_s = self.rng.uniform(self.faults.min_delay_s, self.faults.max_delay_s)
        node = self.nodes[receiver]
        self._at(delay_s, lambda: self._receive(receiver, node, name, message))

    def _receive(self, name, node, sender, message):
        if node.down or self.nodes[name] is not node:
            return
        if node.paused:
            node.inbox.append((sender, message))
            return
        self._act(name, node, node.membership.receive(sender, message, self.now))


def _address(name):
    number = int(name.rpartition("-")[2])
    return f"10.20.30.40:{8000 + number}"
