"""The probes that an instance has sent and the replies that it awaits."""

from dataclasses import dataclass


@dataclass
class Probe:
    """The probe of the current heartbeat period."""

    target: str
    sequence: int
    started: float
    indirect: bool = False


@dataclass(frozen=True)
class Relay:
    """The instance that requested a probe of another, and its sequence number."""

    instance: str
    sequence: int


class ProbeTracker:
    """Numbers the messages that expect a reply, and records when they were sent."""

    def __init__(self, first_sequence: int):
        self.sequence = first_sequence
        self.current: Probe | None = None
        self.sent: dict[int, float] = {}
        self.relays: dict[int, Relay] = {}

    def next_sequence(self, now: float) -> int:
        """Return the sequence number for a message that expects a reply."""
        self.sequence += 1
        self.sent[self.sequence] = now
        return self.sequence

    def start(self, target: str, now: float) -> int:
        """Start the probe of a period and return its sequence number."""
        self.current = Probe(target, self.next_sequence(now), now)
        return self.current.sequence

    def relay(self, instance: str, sequence: int, now: float) -> int:
        """Return the sequence number for a probe on behalf of another instance."""
        number = self.next_sequence(now)
        self.relays[number] = Relay(instance, sequence)
        return number

    def finish(self) -> Probe | None:
        """Finish the period's probe; return it if it got no acknowledgement."""
        unanswered, self.current = self.current, None
        return unanswered

    def record_ack(self, sequence: int) -> Relay | None:
        """Record an acknowledgement; return where to forward it, if anywhere."""
        if self.current is not None and self.current.sequence == sequence:
            self.current = None
        return self.relays.pop(sequence, None)

    def remove_before(self, oldest: float) -> None:
        """Remove what was sent before a time."""
        self.sent = {n: sent for n, sent in self.sent.items() if sent >= oldest}
        self.relays = {n: relay for n, relay in self.relays.items() if n in self.sent}
