"""The journal of one process: its latest events in bounded memory."""

import collections
import threading
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.logs import Event, Level, write_line
from cassiaford.timeline._clock import HybridClock, Timestamp

# A record takes about 1 KB, so the journal stays under 4 MB.
DEFAULT_CAPACITY = 4096


@dataclass(frozen=True)
class Detail:
    """A named value of an event."""

    name: str
    value: str


@dataclass(frozen=True)
class Subject:
    """The request, customer and server of an event; unknown ones are empty."""

    request_id: str = ""
    customer: str = ""
    server: str = ""


@dataclass(frozen=True)
class Record:
    """An event that happened in one process."""

    timestamp: Timestamp
    instance: str
    incarnation: int
    revision: int
    event: Event
    subject: Subject
    details: tuple[Detail, ...] = ()


NO_SUBJECT = Subject()


class Journal:
    """Records events in memory and writes each of them to the log.

    Details must contain neither a caller's key nor any part of a prompt.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        clock: HybridClock,
        capacity: int = DEFAULT_CAPACITY,
        write: Callable[[Level, str, dict[str, object]], None] = write_line,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.revision = 0
        self.write = write
        self.records = collections.deque(maxlen=capacity)
        self._lock = threading.Lock()

    def record(
        self, event: Event, subject: Subject = NO_SUBJECT, **details: object
    ) -> Record:
        """Record an event and return the record."""
        record = Record(
            timestamp=self.clock.now(),
            instance=self.instance,
            incarnation=self.incarnation,
            revision=self.revision,
            event=event,
            subject=subject,
            details=tuple(Detail(name, str(details[name])) for name in details),
        )
        with self._lock:
            self.records.append(record)
        self.write(event.level, f"CF{event.number} {event.text}", _log_fields(record))
        return record

    def snapshot(self) -> tuple[Record, ...]:
        """Return the records in memory, oldest first."""
        with self._lock:
            return tuple(self.records)


def _log_fields(record):
    fields = {"instance": record.instance, "revision": record.revision}
    for name in ("request_id", "customer", "server"):
        value = getattr(record.subject, name)
        if value:
            fields[name] = value
    fields.update((detail.name, detail.value) for detail in record.details)
    return fields
