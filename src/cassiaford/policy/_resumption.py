"""When a broken stream is resumed at the server that ran it."""

from dataclasses import dataclass

from cassiaford.policy._retries import Failure

# A stream is resumed this often without a new event before it goes elsewhere.
MAX_FRUITLESS_RESUMES = 2

_RESUMABLE = frozenset(
    {
        Failure.IDLE_TIMEOUT,
        Failure.RESET_DURING_RESPONSE,
        Failure.TRUNCATED_RESPONSE,
        Failure.FIRST_BYTE_TIMEOUT,
    }
)


@dataclass(frozen=True)
class BrokenStream:
    """A stream whose connection no longer brings events.

    `known_to_server` says that the server named the request in its answer,
    so that it does not start the request again for a resumption.
    `fruitless_resumes` counts those since the newest event.
    """

    streaming: bool
    repeatable: bool
    known_to_server: bool
    complete: bool
    fruitless_resumes: int


def may_resume(stream: BrokenStream, failure: Failure) -> bool:
    """Return whether the server is asked to go on with a stream.

    Examples
    --------
    >>> stream = BrokenStream(True, True, False, False, 0)
    >>> may_resume(stream, Failure.IDLE_TIMEOUT)
    True
    """
    if not stream.streaming or stream.complete or failure not in _RESUMABLE:
        return False
    if not stream.repeatable and not stream.known_to_server:
        return False
    return stream.fruitless_resumes < MAX_FRUITLESS_RESUMES
