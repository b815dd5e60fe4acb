"""The log of one gateway: numbered events as JSON lines, limited in volume."""

import collections
import time

from cassiaford.logs import Event, write_line

# The sustained rate and the burst of lines; lines beyond them are only counted.
LINES_PER_S = 60.0
BURST_LINES = 300.0
# One in this many successful requests is logged.
SAMPLE_EVERY = 50


class EventLog:
    """Writes events with the instance's name and the configuration's version."""

    def __init__(self, instance: str, incarnation: int):
        self.instance = instance
        self.incarnation = incarnation
        self.configuration_version = 0
        self.dropped = 0
        self._level = BURST_LINES
        self._updated_at = time.monotonic()
        self._occurrences = collections.Counter()

    def write(self, event: Event, **details: object) -> None:
        """Write one line; details must contain neither a key nor a prompt."""
        now = time.monotonic()
        earned = (now - self._updated_at) * LINES_PER_S
        self._level = min(BURST_LINES, self._level + earned)
        self._updated_at = now
        if self._level < 1.0:
            self.dropped += 1
            return
        self._level -= 1.0
        fields = {
            "instance": self.instance,
            "configuration": self.configuration_version,
        }
        if self.dropped:
            fields["dropped_lines"] = self.dropped
            self.dropped = 0
        write_line(event.level, f"CF{event.number} {event.text}", fields | details)

    def write_sampled(self, event: Event, **details: object) -> None:
        """Write one line for every `SAMPLE_EVERY` occurrences of a routine event."""
        if self._occurrences[event] % SAMPLE_EVERY == 0:
            self.write(event, one_of=SAMPLE_EVERY, **details)
        self._occurrences[event] += 1
