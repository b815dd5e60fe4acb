"""Evidence that a server crashed, and the requests that it was running then."""

from collections.abc import Hashable
from dataclasses import dataclass

# The entry of a crashed server that sends no reset lasts for several heartbeats.
EVIDENCE_TTL_S = 10.0
# Exchanges notice the end of one server one after the other.
CRASH_TTL_S = 2.0


@dataclass(frozen=True)
class BrokenRequest:
    """A request that broke, and the parts of its prompt that may be the cause."""

    fingerprint: str
    parts: tuple[int, ...] = ()


class CrashEvidence:
    """Matches requests whose connections broke with servers that ended.

    A connection may also break because of the network or a faulty response, so a
    broken request counts only once its server is known to have ended.

    Examples
    --------
    >>> evidence = CrashEvidence()
    >>> evidence.record_break("engine-1", BrokenRequest("f"), 0.0)
    False
    >>> evidence.record_end("engine-1", 0.1)
    (BrokenRequest(fingerprint='f', parts=()),)
    >>> evidence.record_break("engine-1", BrokenRequest("g"), 0.2)
    True
    """

    def __init__(self):
        self.breaks: dict[Hashable, dict[BrokenRequest, float]] = {}
        self.ended_at: dict[Hashable, float] = {}

    def record_break(
        self, server: Hashable, request: BrokenRequest, now: float
    ) -> bool:
        """Record a broken request; return whether its server is known to have ended."""
        ended_at = self.ended_at.get(server)
        if ended_at is not None and now - ended_at <= CRASH_TTL_S:
            return True
        self.breaks.setdefault(server, {})[request] = now
        return False

    def record_end(self, server: Hashable, now: float) -> tuple[BrokenRequest, ...]:
        """Record that a server ended; return the requests that broke shortly before."""
        self.ended_at[server] = now
        broken = self.breaks.pop(server, {})
        return tuple(r for r, at in broken.items() if now - at <= EVIDENCE_TTL_S)

    def remove_request(self, fingerprint: str) -> None:
        """Remove a request that has completed elsewhere."""
        for server, broken in self.breaks.items():
            self.breaks[server] = {
                r: at for r, at in broken.items() if r.fingerprint != fingerprint
            }

    def expire(self, now: float) -> None:
        """Remove what is too old to match."""
        for server, broken in tuple(self.breaks.items()):
            for request, at in tuple(broken.items()):
                if now - at > EVIDENCE_TTL_S:
                    del broken[request]
            if not broken:
                del self.breaks[server]
        for server, at in tuple(self.ended_at.items()):
            if now - at > CRASH_TTL_S:
                del self.ended_at[server]
