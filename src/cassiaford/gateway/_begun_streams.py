"""The streams that servers began lately."""

from collections import deque

from cassiaford.gateway._messages import BackendServer

# Those that began first are dropped first.
MAX_SERVERS = 1000
MAX_STREAMS_PER_SERVER = 1000


class BegunStreams:
    """The attempts whose streams began at each server, by its identifier.

    A server may start again under its identifier with other software. What the
    new start began is taken for the former one's until its entry is read.
    """

    def __init__(self):
        self._streams: dict[str, deque[tuple[float, str, BackendServer]]] = {}

    def record(self, attempt_id: str, server: BackendServer, now: float) -> None:
        """Record that an attempt's stream began at a server, as it was known."""
        streams = self._streams.pop(server.server_id, None)
        if streams is None:
            streams = deque(maxlen=MAX_STREAMS_PER_SERVER)
        streams.append((now, attempt_id, server))
        # Put last, so that the servers stay in the order of their last streams.
        self._streams[server.server_id] = streams
        while len(self._streams) > MAX_SERVERS:
            del self._streams[next(iter(self._streams))]

    def of_other_software(self, server: BackendServer, since: float) -> list[str]:
        """Return what began since a time at another start with other software."""
        return [
            attempt_id
            for at, attempt_id, known in self._streams.get(server.server_id, ())
            if at >= since
            and known.incarnation != server.incarnation
            and known.origin != server.origin
        ]
