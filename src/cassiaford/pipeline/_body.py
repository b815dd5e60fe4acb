"""Relaying of response bodies to callers."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford._event_splitter import EventSplitter
from cassiaford.pipeline._caller import CallerConnection
from cassiaford.pipeline._events import (
    PLAIN_EVENT,
    comparable_content,
    parse_event,
    parse_usage,
)
from cassiaford.pipeline._job import Job
from cassiaford.pipeline._messages import Usage
from cassiaford.pipeline._response import BODILESS_STATUSES, ResponseHead
from cassiaford.policy import Failure

# A response up to this size is buffered until it is complete, so that a
# truncated one can still be refused or retried.
MAX_BUFFERED_BYTES = 256 * 1024


class BodyRelay(ABC):
    """Relays the body of one response to the caller.

    `feed` and `end` return the failure that the body shows, or None.
    `start_response` is called once, before the first byte is sent to the
    caller; it returns the head to write before that byte. `replays` is whether
    the response starts a stream anew of which the caller has events.
    """

    replays = False

    def __init__(
        self,
        caller: CallerConnection,
        start_response: Callable[[int | None], bytes],
        job: Job,
    ):
        self.caller = caller
        self.start_response = start_response
        self.copy = job.response_copy
        self.usage: Usage | None = None

    @abstractmethod
    def feed(self, data: bytes) -> Failure | None:
        """Process a part of the body."""

    @abstractmethod
    def end(self) -> Failure | None:
        """Process the end of the body and complete the caller's response."""

    def send(self, data: bytes, length: int | None = None) -> None:
        """Write bytes to the caller, preceded by the head if it was not sent yet."""
        if self.copy.enabled:
            self.copy.add(data)
        head = b"" if self.caller.response_started else self.start_response(length)
        self.caller.write(data, head)


class PlainBodyRelay(BodyRelay):
    """Relays bytes as they arrive, or buffers a short response until it is complete."""

    def __init__(
        self,
        caller,
        start_response,
        job,
        head: ResponseHead,
        buffering: bool,
        reads_usage: bool,
    ):
        super().__init__(caller, start_response, job)
        self.length = head.length
        self.buffering = buffering
        self.reads_usage = reads_usage
        self.buffered = []
        self.buffered_bytes = 0

    def feed(self, data: bytes) -> Failure | None:
        """Relay or buffer a part of the body."""
        if not self.buffering:
            self.send(data, self.length)
            return None
        self.buffered.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.buffering = False
            self.send(b"".join(self.buffered), self.length)
            self.buffered.clear()
        return None

    def end(self) -> Failure | None:
        """Send the buffered body and complete the response."""
        if self.buffering:
            body = b"".join(self.buffered)
            self.usage = _parse_body_usage(body) if self.reads_usage else None
            self.send(body, len(body))
        elif not self.caller.response_started:
            self.send(b"", self.length)
        self.caller.finish()
        return None


class BodilessRelay(BodyRelay):
    """Relays a response without a body."""

    def __init__(self, caller, start_response, job, head: ResponseHead):
        super().__init__(caller, start_response, job)
        self.length = head.length

    def feed(self, data: bytes) -> Failure | None:
        """Report a failure: this response must not have a body."""
        return Failure.INVALID_RESPONSE

    def end(self) -> Failure | None:
        """Send the head."""
        self.send(b"", self.length)
        self.caller.finish()
        return None


class EventStreamRelay(BodyRelay):
    """Relays complete events of a model's stream.

    With `replay`, the response restarts the stream on another server: its
    first events must equal those already sent to the caller, and are skipped.
    """

    def __init__(self, caller, start_response, job, replay: bool):
        super().__init__(caller, start_response, job)
        self.progress = job.progress
        self.hides_usage = job.upstream.hides_usage
        self.splitter = EventSplitter()
        self.expected = list(job.progress.history) if replay else []
        self.expected.reverse()
        self.replays = replay

    def feed(self, data: bytes) -> Failure | None:
        """Relay the events that are complete."""
        forwarded = []
        for event in self.splitter.feed(data):
            if self.expected:
                if not self._matches_replay(event):
                    return Failure.DIVERGED
            elif self._record_event(event):
                forwarded.append(event)
        if forwarded:
            self.send(forwarded[0] if len(forwarded) == 1 else b"".join(forwarded))
        return None

    def end(self) -> Failure | None:
        """Complete the caller's stream if the server's stream is complete."""
        if not self.progress.complete or self.expected:
            return Failure.TRUNCATED_RESPONSE
        self.usage = self.progress.usage
        self.caller.finish()
        return None

    def _matches_replay(self, event):
        if not parse_event(event).has_data:
            return True
        return comparable_content(event) == comparable_content(self.expected.pop())

    def _record_event(self, event):
        metadata = parse_event(event)
        progress = self.progress
        if metadata is PLAIN_EVENT:
            progress.add(event)
            return True
        if metadata.has_data:
            progress.add(event)
        progress.usage = metadata.usage or progress.usage
        progress.finished |= metadata.finished
        progress.done |= metadata.done
        progress.failed |= metadata.failed
        return not (metadata.only_usage and self.hides_usage)


def create_body_relay(
    job: Job,
    caller: CallerConnection,
    start_response: Callable[[int | None], bytes],
    head: ResponseHead,
) -> BodyRelay | None:
    """Return the relay for a response with this head.

    Return None if the response restarts a stream whose events, already sent to
    the caller, were not kept for comparison.
    """
    call = job.request.call
    if job.upstream.method == "HEAD" or head.status in BODILESS_STATUSES:
        return BodilessRelay(caller, start_response, job, head)
    if call is not None and call.streaming and head.is_event_stream:
        return _stream_relay(job, caller, start_response, head)
    buffering = call is not None or head.length is not None
    return PlainBodyRelay(
        caller, start_response, job, head, buffering, call is not None
    )


def _stream_relay(job, caller, start_response, head):
    replay = job.progress.received > 0 and not _is_resumed(job, head)
    if replay and not job.progress.history:
        return None
    return EventStreamRelay(caller, start_response, job, replay)


def _is_resumed(job, head):
    """Return whether the server resumes the stream at the requested offset.

    A server that does not support the header starts from the beginning and
    does not return the offset in its response.
    """
    offset = job.resume_at
    return offset is not None and head.header("x-resume-offset") == str(offset)


def _parse_body_usage(body):
    try:
        return parse_usage(json.loads(body))
    except ValueError:
        return None
