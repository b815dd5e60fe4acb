"""The probes that an instance has sent and the answers that it awaits."""

from dataclasses import dataclass


@dataclass
class Probe:
    """The one probe of this heartbeat period."""

    target: str
    sequence: int
    started: float
    indirect: bool = False


@dataclass(frozen=True)
class Relay:
    """Who asked for a probe in its name, under which number."""

    instance: str
    sequence: int


class ProbeBook:
    """Numbers the messages that are answered, and remembers them for a while."""

    def __init__(self, first_sequence: int):
        self.sequence = first_sequence
        self.current: Probe | None = None
        self.sent: dict[int, float] = {}
        self.relays: dict[int, Relay] = {}

    def number(self, now: float) -> int:
        """Return the number for a message that will be answered."""
        self.sequence += 1
        self.sent[self.sequence] = now
        return self.sequence

    def begin(self, target: str, now: float) -> int:
        """Begin the probe of a period and return its number."""
        self.current = Probe(target, self.number(now), now)
        return self.current.sequence

    def relay(self, instance: str, sequence: int, now: float) -> int:
        """Return the number for a probe in another instance's name."""
        number = self.number(now)
        self.relays[number] = Relay(instance, sequence)
        return number

    def end(self) -> Probe | None:
        """End the period's probe; return it if it was not answered."""
        unanswered, self.current = self.current, None
        return unanswered

    def answered(self, sequence: int) -> Relay | None:
        """Take note of an answer; return to whom it must be passed on."""
        if self.current is not None and self.current.sequence == sequence:
            self.current = None
        return self.relays.pop(sequence, None)

    def forget_before(self, oldest: float) -> None:
        """Drop what was sent before a time."""
        self.sent = {n: sent for n, sent in self.sent.items() if sent >= oldest}
        self.relays = {n: relay for n, relay in self.relays.items() if n in self.sent}
