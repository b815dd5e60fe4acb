"""Parsing of a model's server-sent events.

The events themselves are relayed unchanged, byte for byte.
"""

import json
import re
from dataclasses import dataclass

from cassiaford.pipeline._messages import Usage

_DONE_EVENT_BYTES = len(b"data: [DONE]\n\n")
_FINISHED = re.compile(rb'"finish_reason"\s*:\s*"')
_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_ERROR = re.compile(rb'^data:\s*\{\s*"error"\s*:')


@dataclass(frozen=True)
class EventMetadata:
    """What an event says about the state of its stream.

    `has_data` is false for a comment, which does not count towards the offset;
    `only_usage` marks the extra event that carries usage and no text.
    """

    has_data: bool = True
    done: bool = False
    finished: bool = False
    failed: bool = False
    usage: Usage | None = None
    only_usage: bool = False


# Most events carry text only.
PLAIN_EVENT = EventMetadata()
_COMMENT = EventMetadata(has_data=False)
_DONE = EventMetadata(done=True)


def parse_event(event: bytes) -> EventMetadata:
    """Return the metadata of an event of a model's stream."""
    if not _has_data(event):
        return _COMMENT
    if b"[DONE]" in event[:_DONE_EVENT_BYTES]:
        return _DONE
    finished = _FINISHED.search(event) is not None
    if b'"usage"' in event and _USAGE.search(event):
        return _usage_event(event, finished)
    if finished:
        return EventMetadata(finished=True)
    if b'"error"' in event and _ERROR.match(event):
        return EventMetadata(failed=True)
    return PLAIN_EVENT


def parse_usage(document: object) -> Usage | None:
    """Return the usage in a response's JSON document, or None without one."""
    usage = document.get("usage") if isinstance(document, dict) else None
    if not isinstance(usage, dict):
        return None
    details = usage.get("prompt_tokens_details")
    cached = details.get("cached_tokens") if isinstance(details, dict) else 0
    return Usage(
        _count(usage.get("prompt_tokens")),
        _count(usage.get("completion_tokens")),
        _count(cached),
    )


def comparable_content(event: bytes) -> object:
    """Return the content of an event by which two streams are compared.

    The choices are compared; the identifier and the creation time differ from
    run to run. An event without a JSON document is compared as a whole.
    """
    document = _document(event)
    if not isinstance(document, dict):
        return event.strip()
    return document.get("choices")


def _has_data(event):
    return event.startswith(b"data:") or b"\ndata:" in event or b"\rdata:" in event


def _usage_event(event, finished):
    document = _document(event)
    usage = parse_usage(document)
    only_usage = usage is not None and document.get("choices") == []
    return EventMetadata(finished=finished, usage=usage, only_usage=only_usage)


def _document(event):
    lines = event.splitlines()
    data = b"\n".join(line[5:] for line in lines if line.startswith(b"data:"))
    try:
        return json.loads(data)
    except ValueError:
        return None


def _count(value):
    return value if isinstance(value, int) and value >= 0 else 0
