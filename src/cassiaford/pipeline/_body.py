"""Passing an answer's body on to its caller."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford._event_splitter import EventSplitter
from cassiaford.pipeline._caller import CallerConnection
from cassiaford.pipeline._events import (
    PLAIN_EVENT,
    event_text,
    read_event,
    read_usage,
)
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._messages import Usage
from cassiaford.pipeline._response import BODILESS_STATUSES, AnswerHead
from cassiaford.policy import Failure

# An answer up to this size is held until it is whole, so that a broken one can
# still be refused or fetched again.
MAX_HELD_BYTES = 256 * 1024


class BodyRelay(ABC):
    """Passes the body of one answer on.

    `feed` and `end` return the failure that the bytes amount to, or None.
    `begin` is called once before the first byte goes to the caller; it
    returns the head to be written with it.
    """

    def __init__(
        self,
        caller: CallerConnection,
        begin: Callable[[int | None], bytes],
        job: Job,
    ):
        self.caller = caller
        self.begin = begin
        self.copy = job.copy
        self.usage: Usage | None = None

    @abstractmethod
    def feed(self, data: bytes) -> Failure | None:
        """Take a part of the body."""

    @abstractmethod
    def end(self) -> Failure | None:
        """Take note that the body is complete; end the caller's answer."""

    def send(self, data: bytes, length: int | None = None) -> None:
        """Write bytes, after the head if it is not yet written."""
        if self.copy.keeps:
            self.copy.add(data)
        head = b"" if self.caller.started else self.begin(length)
        self.caller.write(data, head)


class PlainBodyRelay(BodyRelay):
    """Passes bytes on as they come, or holds a short answer until it is whole."""

    def __init__(
        self, caller, begin, job, head: AnswerHead, holds: bool, reads_usage: bool
    ):
        super().__init__(caller, begin, job)
        self.length = head.length
        self.holds = holds
        self.reads_usage = reads_usage
        self.held = []
        self.held_bytes = 0

    def feed(self, data: bytes) -> Failure | None:
        """Pass a part on, or hold it."""
        if not self.holds:
            self.send(data, self.length)
            return None
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes > MAX_HELD_BYTES:
            self.holds = False
            self.send(b"".join(self.held), self.length)
            self.held.clear()
        return None

    def end(self) -> Failure | None:
        """Send what is held and end the answer."""
        if self.holds:
            body = b"".join(self.held)
            self.usage = _usage_in(body) if self.reads_usage else None
            self.send(body, len(body))
        elif not self.caller.started:
            self.send(b"", self.length)
        self.caller.finish()
        return None


class BodilessRelay(BodyRelay):
    """Passes an answer on that has a head only."""

    def __init__(self, caller, begin, job, head: AnswerHead):
        super().__init__(caller, begin, job)
        self.length = head.length

    def feed(self, data: bytes) -> Failure | None:
        """Refuse a body where there can be none."""
        return Failure.INVALID_RESPONSE

    def end(self) -> Failure | None:
        """Send the head."""
        self.send(b"", self.length)
        self.caller.finish()
        return None


class EventStreamRelay(BodyRelay):
    """Passes whole events of a model's stream on.

    With `replay`, the answer begins the stream anew on another server: its
    first events must equal those that the caller has, and are not sent again.
    """

    def __init__(self, caller, begin, job, replay: bool):
        super().__init__(caller, begin, job)
        self.progress = job.progress
        self.hides_usage = job.upstream.hides_usage
        self.splitter = EventSplitter()
        self.expected = list(job.progress.history) if replay else []
        self.expected.reverse()

    def feed(self, data: bytes) -> Failure | None:
        """Pass on the events that are whole now."""
        passed = []
        for event in self.splitter.feed(data):
            if self.expected:
                if not self._replays(event):
                    return Failure.DIVERGED
            elif self._shows(event):
                passed.append(event)
        if passed:
            self.send(passed[0] if len(passed) == 1 else b"".join(passed))
        return None

    def end(self) -> Failure | None:
        """End the caller's stream, if this one has come to its own end."""
        if not self.progress.complete or self.expected:
            return Failure.TRUNCATED_RESPONSE
        self.usage = self.progress.usage
        self.caller.finish()
        return None

    def _replays(self, event):
        if not read_event(event).counts:
            return True
        return event_text(event) == event_text(self.expected.pop())

    def _shows(self, event):
        facts = read_event(event)
        progress = self.progress
        if facts is PLAIN_EVENT:
            progress.add(event)
            return True
        if facts.counts:
            progress.add(event)
        progress.usage = facts.usage or progress.usage
        progress.finished |= facts.finished
        progress.done |= facts.done
        progress.failed |= facts.failed
        return not (facts.only_usage and self.hides_usage)


def create_body(
    job: Job,
    caller: CallerConnection,
    begin: Callable[[int | None], bytes],
    head: AnswerHead,
) -> BodyRelay | None:
    """Return the relay for an answer with this head.

    None means that the answer begins a stream anew of which the caller has a
    part that it cannot be compared with.
    """
    call = job.request.call
    if job.upstream.method == "HEAD" or head.status in BODILESS_STATUSES:
        return BodilessRelay(caller, begin, job, head)
    if call is not None and call.streaming and head.is_event_stream:
        return _stream_relay(job, caller, begin, head)
    holds = call is not None or head.length is not None
    return PlainBodyRelay(caller, begin, job, head, holds, call is not None)


def _stream_relay(job, caller, begin, head):
    replay = job.progress.received > 0 and not _resumed(job, head)
    if replay and not job.progress.history:
        return None
    return EventStreamRelay(caller, begin, job, replay)


def _resumed(job, head):
    """Return whether the server goes on where the stream broke off.

    A server that does not know the header for it starts from the beginning,
    and does not name the offset in its answer.
    """
    offset = job.resume_at
    return offset is not None and head.header("x-resume-offset") == str(offset)


def _usage_in(body):
    try:
        return read_usage(json.loads(body))
    except ValueError:
        return None
