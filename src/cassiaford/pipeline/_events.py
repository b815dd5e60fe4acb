"""Reading what matters in a model's server-sent events.

Events pass as they came, byte for byte.
"""

import json
import re
from dataclasses import dataclass

from cassiaford.pipeline._messages import Usage

_DONE_WITHIN = len(b"data: [DONE]\n\n")
_FINISHED = re.compile(rb'"finish_reason"\s*:\s*"')
_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_ERROR = re.compile(rb'^data:\s*\{\s*"error"\s*:')


@dataclass(frozen=True)
class EventFacts:
    """What an event says about its stream.

    `counts` is false for a comment, which has no data and no place in the
    offset; `only_usage` marks the extra event that carries usage and no text.
    """

    counts: bool = True
    done: bool = False
    finished: bool = False
    failed: bool = False
    usage: Usage | None = None
    only_usage: bool = False


# What most events say: nothing beside their text.
PLAIN_EVENT = EventFacts()
_COMMENT = EventFacts(counts=False)
_DONE = EventFacts(done=True)


def read_event(event: bytes) -> EventFacts:
    """Return what an event of a model's stream says about the stream."""
    if not _has_data(event):
        return _COMMENT
    if b"[DONE]" in event[:_DONE_WITHIN]:
        return _DONE
    finished = _FINISHED.search(event) is not None
    if b'"usage"' in event and _USAGE.search(event):
        return _usage_event(event, finished)
    if finished:
        return EventFacts(finished=True)
    if b'"error"' in event and _ERROR.match(event):
        return EventFacts(failed=True)
    return PLAIN_EVENT


def read_usage(document: object) -> Usage | None:
    """Return the usage in an answer's JSON document, if it has one."""
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


def event_text(event: bytes) -> object:
    """Return what an event adds to the answer, to compare two streams.

    The identifier and the time of creation differ from run to run and do not
    matter; the choices do. An event without a JSON document stands for itself.
    """
    document = _document(event)
    if not isinstance(document, dict):
        return event.strip()
    return document.get("choices")


def _has_data(event):
    return event.startswith(b"data:") or b"\ndata:" in event or b"\rdata:" in event


def _usage_event(event, finished):
    document = _document(event)
    usage = read_usage(document)
    only_usage = usage is not None and document.get("choices") == []
    return EventFacts(finished=finished, usage=usage, only_usage=only_usage)


def _document(event):
    lines = event.splitlines()
    data = b"\n".join(line[5:] for line in lines if line.startswith(b"data:"))
    try:
        return json.loads(data)
    except ValueError:
        return None


def _count(value):
    return value if isinstance(value, int) and value >= 0 else 0
