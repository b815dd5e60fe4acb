"""Where the streams of callers' attempts began."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiaford.gateway._configuration import Route
from cassiaford.gateway._view import View
from cassiaford.origins import StreamOrigin, origin_of

# A caller's streams may last longer than the route allows for one attempt, also if
# it states no deadline.
LONGEST_REQUEST_FACTOR = 2.0


class StreamOrigins(ABC):
    """Records where streams begin, and finds it for callers that take them up."""

    @abstractmethod
    def record(self, attempt_id: str, origin: StreamOrigin | None) -> None:
        """Record where a stream began, just before its first event is relayed.

        `attempt_id` is the attempt that brings that event to the caller. Who takes
        the stream up records the same origin again, under the same attempt. None
        stands for an unknown origin.
        """

    @abstractmethod
    def is_ambiguous(self, attempt_id: str) -> bool:
        """Return whether what is known here of a stream's origin is contradictory."""

    @abstractmethod
    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return where the stream of an attempt began, or None if uncertain."""


class SoleOrigins:
    """Finds the origin of a stream where only one software version can be it.

    `in_touch_since` returns whether the instance has known of all changes of
    servers and routes since a time.
    """

    def __init__(self, view: View, in_touch_since: Callable[[float], bool]):
        self.view = view
        self.in_touch_since = in_touch_since

    def find(self, route: Route, now: float) -> StreamOrigin | None:
        """Return the origin of any stream of a route, or None if uncertain."""
        # A stream that began before a timeout was lowered may last for longer, and a
        # caller may take its stream up again and again until its own deadline.
        longest_s = LONGEST_REQUEST_FACTOR * self.view.longest_timeout_s
        begun_after = now - max(longest_s, self.view.longest_deadline_s)
        if not self.in_touch_since(begun_after):
            return None
        if not self.view.recent_targets.has_since(route.name, begun_after):
            # The stream may have begun on another route.
            return None
        service = _only(self.view.recent_targets.since(route.name, begun_after))
        if service is None:
            return None
        software = self.view.recent_software.since(service, begun_after)
        return origin_of(service, _only(software))


def _only(values):
    """Return the only one of some values, or None."""
    return next(iter(values)) if values is not None and len(values) == 1 else None
