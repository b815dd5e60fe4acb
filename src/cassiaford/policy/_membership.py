"""Fleet membership: probes, suspicions and the dissemination of updates.

The protocol is SWIM (Das, Gupta and Motivala, 2002): in each heartbeat period
an instance probes one member, directly and then through others, so the cost
of an instance does not grow with the fleet. Probes carry the updates.
"""

import random
from dataclasses import replace

from cassiaford.policy._gossip import GossipQueue
from cassiaford.policy._member import Member, MemberState, MemberUpdate
from cassiaford.policy._member_table import MemberTable, digest_of
from cassiaford.policy._membership_messages import (
    Action,
    MemberChanged,
    MembershipMessage,
    MessageKind,
    PeerContact,
    SendMessage,
    Superseded,
)
from cassiaford.policy._probes import ProbeTracker

# The limit of updates in a message, so that it fits into a datagram.
MAX_UPDATES = 5
# The number of random members in each message, which makes up for lost updates.
REFRESH_UPDATES = 1
INDIRECT_PROBES = 3
# Times in heartbeat periods.
INDIRECT_AFTER_PERIODS = 0.4
PAUSE_PERIODS = 3.0
RECONNECT_PERIODS = 5
SEED_PERIODS = 15
# For this long after its start an instance tries its seeds in every period:
# when instances start together, some are not bound yet when others ping them.
FIRST_SEED_PERIODS = 5
SENT_PROBE_TTL_PERIODS = 8
ADDRESSES_PER_PERIOD = 8
ANNOUNCE_FANOUT = 6
# Suspects are probed directly, so that they learn of the suspicion and refute it.
SUSPECTS_PROBED_PER_PERIOD = 2
# The minimum time between two requests for a peer's whole table of members.
SYNC_PERIODS = 10
FIRST_SYNC_PERIODS = 3


class Membership:
    """The view that one instance has of the fleet.

    Call `tick` a few times in each heartbeat period and `receive` for each
    message, and perform the actions that they return.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        heartbeat_interval_s: float,
        rng: random.Random,
        now: float,
    ):
        self.own = MemberUpdate(own, 0, MemberState.ALIVE)
        self.seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self.interval_s = heartbeat_interval_s
        self.rng = rng
        self.table = MemberTable(heartbeat_interval_s)
        self.gossip = GossipQueue()
        self.untried_addresses: list[str] = list(self.seeds)
        self.probes = ProbeTracker(rng.getrandbits(30))
        self.revision = 0
        self.joined = False
        self.period = 0
        self.last_tick = now
        self.next_period = now
        self.next_sync = now + FIRST_SYNC_PERIODS * heartbeat_interval_s
        self._order: list[str] = []

    def members(self) -> tuple[Member, ...]:
        """Return the live members, this instance first."""
        own = replace(self.own.member, revision=self.revision)
        return (own, *self.table.live())

    def suspected(self) -> frozenset[str]:
        """Return the names of the members that are suspected to be dead."""
        return frozenset(member.instance for member in self.table.suspects())

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add addresses at which instances may be found."""
        known_addresses = {member.peer_address for member in self.members()}
        known_addresses.update(self.untried_addresses)
        self.untried_addresses += [
            address for address in addresses if address not in known_addresses
        ]

    def tick(self, now: float) -> list[Action]:
        """Perform the work that is due; return actions."""
        self._detect_pause(now)
        actions = self._probe_indirectly(now)
        if now >= self.next_period:
            actions += self._finish_probe(now)
            actions += self._expire(now)
            actions += self._start_period(now)
        return actions

    def receive(
        self, sender: str, message: MembershipMessage, now: float
    ) -> list[Action]:
        """Process a message from a peer; return actions."""
        actions = []
        spread = message.kind is not MessageKind.SYNC
        for update in message.updates:
            actions += self._merge(update, now, spread)
        self.table.update_revision(sender, message.revision)
        as_of = self.probes.sent.get(message.sequence)
        if message.kind is not MessageKind.ACK:
            as_of = None
        actions.append(PeerContact(sender, message.revision, as_of))
        actions += self._reply(sender, message, now)
        actions += self._sync_if_different(sender, message, now)
        return actions

    def announce_ready(self, now: float) -> list[Action]:
        """Announce that this instance takes requests."""
        member = replace(self.own.member, ready=True)
        self._update_own(replace(self.own, member=member))
        return self._announce(now)

    def leave(self, now: float) -> list[Action]:
        """Announce that this instance takes no new requests."""
        member = replace(self.own.member, leaving=True)
        self._update_own(replace(self.own, member=member))
        return self._announce(now)

    def stop(self, now: float) -> list[Action]:
        """Announce that this instance stops."""
        self._update_own(replace(self.own, state=MemberState.LEFT))
        return self._announce(now)

    # Periods and probes.

    def _detect_pause(self, now):
        gap = now - self.last_tick
        self.last_tick = now
        if gap > PAUSE_PERIODS * self.interval_s:
            # Replies could not be read during the pause, so nobody is suspected.
            self.probes.finish()
            self.table.postpone_suspicions(gap)

    def _probe_indirectly(self, now):
        probe = self.probes.current
        if probe is None or probe.indirect:
            return []
        if now < probe.started + INDIRECT_AFTER_PERIODS * self.interval_s:
            return []
        probe.indirect = True
        others = [m.instance for m in self.table.live() if m.instance != probe.target]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            self._send(MessageKind.PING_REQUEST, helper, probe.sequence, probe.target)
            for helper in helpers
        ]

    def _finish_probe(self, now):
        probe = self.probes.finish()
        if probe is None:
            return []
        suspicion = self.table.with_state(probe.target, MemberState.SUSPECT)
        return self._merge(suspicion, now) if suspicion else []

    def _expire(self, now):
        actions = []
        for update in self.table.expired_suspicions(now):
            actions += self._merge(update, now)
        self.table.remove_expired(now)
        return actions

    def _start_period(self, now):
        self.period += 1
        self.next_period = now + self.interval_s
        self.probes.remove_before(now - SENT_PROBE_TTL_PERIODS * self.interval_s)
        actions = self._probe_next(now)
        actions += self._probe_suspects(now)
        actions += self._try_addresses(now)
        return actions

    def _probe_next(self, now):
        target = self._next_target()
        if target is None:
            return []
        return [self._send(MessageKind.PING, target, self.probes.start(target, now))]

    def _probe_suspects(self, now):
        suspects = [member.instance for member in self.table.suspects()]
        chosen = self.rng.sample(
            suspects, min(SUSPECTS_PROBED_PER_PERIOD, len(suspects))
        )
        return [
            self._send(MessageKind.PING, suspect, self.probes.next_sequence(now))
            for suspect in chosen
        ]

    def _next_target(self):
        # Probing in shuffled rounds bounds the time until each member is probed.
        live = {member.instance for member in self.table.live()}
        while live:
            if not self._order:
                self._order = sorted(live)
                self.rng.shuffle(self._order)
            target = self._order.pop()
            if target in live:
                return target
        return None

    def _try_addresses(self, now):
        """Ping addresses that may belong to members not known as live."""
        live = self.table.live()
        if self._seeds_are_due() or not live:
            self.add_addresses(self.seeds)
        addresses = self.untried_addresses[:ADDRESSES_PER_PERIOD]
        del self.untried_addresses[:ADDRESSES_PER_PERIOD]
        if self.period % RECONNECT_PERIODS == 0 and self.table.dead():
            addresses.append(self.rng.choice(self.table.dead()).peer_address)
        known_addresses = {member.peer_address for member in live}
        actions = [
            self._ping_address(address, now)
            for address in addresses
            if address not in known_addresses
        ]
        if live and not self.joined:
            helper = self.rng.choice(live).instance
            sequence = self.probes.next_sequence(now)
            actions.append(self._send(MessageKind.JOIN, helper, sequence))
        return actions

    def _seeds_are_due(self):
        return self.period <= FIRST_SEED_PERIODS or self.period % SEED_PERIODS == 0

    def _ping_address(self, address, now):
        message = self._message(MessageKind.PING, self.probes.next_sequence(now))
        return SendMessage(message, address=address)

    # Messages.

    def _reply(self, sender, message, now):
        match message.kind:
            case MessageKind.PING:
                return [self._acknowledge(sender, message)]
            case MessageKind.PING_REQUEST:
                return self._relay(sender, message, now)
            case MessageKind.JOIN:
                return self._sync(sender, message.sequence)
            case MessageKind.ACK:
                return self._on_ack(message.sequence)
            case MessageKind.SYNC:
                self.joined = True
        return []

    def _acknowledge(self, sender, message):
        if message.digest != self._digest():
            return self._send(MessageKind.ACK, sender, message.sequence)
        # Equal digests: the sender has all updates that this instance could send.
        return SendMessage(
            MembershipMessage(
                MessageKind.ACK,
                message.sequence,
                (self.own, *self._state_to_refute(sender)),
                self.revision,
                message.digest,
            ),
            instance=sender,
        )

    def _sync_if_different(self, sender, message, now):
        """Request a peer's whole table if its digest differs."""
        if message.digest in (0, self._digest()) or now < self.next_sync:
            return []
        self.next_sync = now + SYNC_PERIODS * self.interval_s
        return [self._send(MessageKind.JOIN, sender, self.probes.next_sequence(now))]

    def _digest(self):
        return self.table.digest ^ digest_of(self.own)

    def _on_ack(self, sequence):
        relay = self.probes.record_ack(sequence)
        if relay is None:
            return []
        return [self._send(MessageKind.ACK, relay.instance, relay.sequence)]

    def _relay(self, sender, message, now):
        if self.table.get(message.target) is None:
            return []
        sequence = self.probes.relay(sender, message.sequence, now)
        return [self._send(MessageKind.PING, message.target, sequence)]

    def _sync(self, sender, sequence):
        rows = [row.update for row in self.table.rows.values()]
        live = [update for update in rows if update.state <= MemberState.SUSPECT]
        actions = [self._send(MessageKind.ACK, sender, sequence)]
        for start in range(0, len(live) or 1, MAX_UPDATES):
            updates = (self.own, *live[start : start + MAX_UPDATES])
            message = MembershipMessage(
                MessageKind.SYNC, sequence, updates, self.revision, self._digest()
            )
            actions.append(SendMessage(message, instance=sender))
        return actions

    def _send(self, kind, instance, sequence, target=""):
        message = self._message(kind, sequence, instance, target)
        return SendMessage(message, instance=instance)

    def _message(self, kind, sequence, receiver="", target=""):
        updates = [self.own, *self._state_to_refute(receiver)]
        room = MAX_UPDATES - len(updates)
        updates += self.gossip.take(room - REFRESH_UPDATES, len(self.table.rows) + 1)
        updates += self._refresh()
        return MembershipMessage(
            kind, sequence, tuple(updates), self.revision, self._digest(), target
        )

    def _state_to_refute(self, receiver):
        # A member can refute a suspicion only once it has learned of it.
        update = self.table.get(receiver)
        if update is None or update.state is MemberState.ALIVE:
            return []
        return [update]

    def _refresh(self):
        instances = list(self.table.rows)
        chosen = self.rng.sample(instances, min(REFRESH_UPDATES, len(instances)))
        return [self.table.rows[instance].update for instance in chosen]

    def _announce(self, now):
        live = [member.instance for member in self.table.live()]
        chosen = self.rng.sample(live, min(ANNOUNCE_FANOUT, len(live)))
        return [
            self._send(MessageKind.PING, instance, self.probes.next_sequence(now))
            for instance in chosen
        ]

    # Updates.

    def _merge(self, update, now, spread=True):
        if update.member.instance == self.own.member.instance:
            return self._refute(update)
        if not self.table.merge(update, now):
            return []
        if spread:
            self.gossip.add(update)
        return [MemberChanged(update)]

    def _refute(self, update):
        if update.member.incarnation > self.own.member.incarnation:
            return [Superseded(update.member.incarnation)]
        if update.overrides(self.own):
            self._update_own(replace(self.own, version=update.version))
        return []

    def _update_own(self, update):
        self.own = replace(update, version=update.version + 1)
        self.gossip.add(self.own)
