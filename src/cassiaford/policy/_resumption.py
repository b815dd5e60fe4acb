"""The decision whether to resume a broken stream on the server that ran it."""

from dataclasses import dataclass

from cassiaford.policy._retries import Failure

# After this many resumptions without a new event, another server is tried.
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
    """A stream whose connection delivers no more events.

    `known_to_server` is true if the server's response named the request, so
    that a resumption does not start the request again. `fruitless_resumes`
    counts the resumptions since the latest event.
    """

    streaming: bool
    repeatable: bool
    known_to_server: bool
    complete: bool
    fruitless_resumes: int


def may_resume(stream: BrokenStream, failure: Failure) -> bool:
    """Return whether to resume a stream on its server.

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
