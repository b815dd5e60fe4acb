"""The origin of a stream, and the decision whether a server may continue it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamOrigin:
    """The service and the software version whose server began a stream."""

    service: str
    software_version: str


def origin_of(service: str, software_version: str | None) -> StreamOrigin | None:
    """Return the origin of streams that a server begins, or None if unknown."""
    if software_version is None:
        return None
    return StreamOrigin(service, software_version)


def may_continue(
    origin: StreamOrigin | None, service: str, software_version: str | None
) -> bool:
    """Return whether a server is certain to fit what its predecessor wrote.

    An unknown origin or an unknown software version fits nothing, not even
    another unknown one.

    Examples
    --------
    >>> origin = StreamOrigin("chat", "v1.1")
    >>> may_continue(origin, "chat", "v1.1")
    True
    >>> may_continue(origin, "chat", "v1.2")
    False
    >>> may_continue(origin, "chat", None)
    False
    >>> may_continue(None, "chat", None)
    False
    """
    return origin is not None and origin == origin_of(service, software_version)
