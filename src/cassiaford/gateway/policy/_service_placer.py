"""Placement on plain services: the server with the fewest requests per slot."""

import random
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

# A server in another data centre is as good as a local one if it has this many
# fewer requests per slot.
REMOTE_COST = 0.25


@dataclass(frozen=True)
class PlainServer:
    """A server that may take a request, and the cost of using it."""

    key: Hashable
    slots: int
    local: bool
    cost: float = 0.0


class ServicePlacer:
    """Counts the fleet's requests in flight to plain services, and places more.

    Examples
    --------
    >>> placer = ServicePlacer()
    >>> servers = [PlainServer("a", 6, True), PlainServer("b", 6, True)]
    >>> placer.record_start("a")
    >>> placer.choose(servers, random.Random(1)).key
    'b'
    """

    def __init__(self):
        self.own_running: dict[Hashable, int] = {}
        self.peer_running: dict[str, dict[Hashable, int]] = {}

    def record_start(self, server: Hashable) -> None:
        """Record a request that was sent."""
        self.own_running[server] = self.own_running.get(server, 0) + 1

    def record_end(self, server: Hashable) -> None:
        """Record the end of a request."""
        left = self.own_running.get(server, 0) - 1
        if left > 0:
            self.own_running[server] = left
        else:
            self.own_running.pop(server, None)

    def update_from_peer(self, peer: str, running: dict[Hashable, int]) -> None:
        """Record a peer's requests in flight."""
        self.peer_running[peer] = running

    def remove_peer(self, peer: str) -> None:
        """Remove a lost peer."""
        self.peer_running.pop(peer, None)

    def running(self, server: Hashable) -> int:
        """Return the fleet's requests in flight to a server."""
        others = sum(running.get(server, 0) for running in self.peer_running.values())
        return self.own_running.get(server, 0) + others

    def choose(
        self, servers: Sequence[PlainServer], rng: random.Random
    ) -> PlainServer | None:
        """Return the server with the least cost, or None if there is none."""
        best = None
        min_cost = 0.0
        for server in servers:
            cost = self.running(server.key) / max(1, server.slots) + server.cost
            cost += 0.0 if server.local else REMOTE_COST
            cost += rng.random() * 0.05
            if best is None or cost < min_cost:
                best, min_cost = server, cost
        return best
