"""Splitting of byte streams into complete server-sent events.

The HTML standard's section on server-sent events defines the format; an empty
line ends an event.
"""

import re

# A longer event means that the stream is broken.
MAX_EVENT_BYTES = 262_144

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")


class EventStreamError(ValueError):
    """A stream does not consist of valid events."""


class EventSplitter:
    """Collects bytes until they form complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\\n\\ndata: ")
    [b'data: 1\\n\\n']
    >>> splitter.feed(b"2\\n\\n")
    [b'data: 2\\n\\n']
    """

    def __init__(self):
        self.partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that `data` completes, each with its empty line."""
        if self.partial:
            data = self.partial + data
        elif _is_one_event(data):
            return [data]
        events = []
        start = 0
        for match in _END_OF_EVENT.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        self.partial = data[start:] if start else data
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too long")
        return events


def _is_one_event(data):
    """Return whether data is exactly one event, which is the common case."""
    end = data.find(b"\n\n")
    return end >= 0 and end == len(data) - 2 and b"\r" not in data
