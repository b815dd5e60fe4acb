"""Placement on plain services: the server with the least work before it."""

import random
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

# A server in another data centre is as good if it has this many fewer
# requests for each slot.
REMOTE_COST = 0.25


@dataclass(frozen=True)
class PlainServer:
    """A server that may take a request, and what is known against it."""

    key: Hashable
    slots: int
    local: bool
    cost: float = 0.0


class ServicePlacer:
    """Counts requests in flight to plain services, its own and its peers'.

    Examples
    --------
    >>> book = ServicePlacer()
    >>> servers = [PlainServer("a", 6, True), PlainServer("b", 6, True)]
    >>> book.started("a")
    >>> book.choose(servers, random.Random(1)).key
    'b'
    """

    def __init__(self):
        self.own: dict[Hashable, int] = {}
        self.peers: dict[str, dict[Hashable, int]] = {}

    def started(self, server: Hashable) -> None:
        """Take note of a request that was sent."""
        self.own[server] = self.own.get(server, 0) + 1

    def ended(self, server: Hashable) -> None:
        """Take note that a request has ended."""
        left = self.own.get(server, 0) - 1
        if left > 0:
            self.own[server] = left
        else:
            self.own.pop(server, None)

    def hear(self, peer: str, running: dict[Hashable, int]) -> None:
        """Take in a peer's requests in flight."""
        self.peers[peer] = running

    def remove_peer(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self.peers.pop(peer, None)

    def running(self, server: Hashable) -> int:
        """Return the requests in flight to a server, by the whole fleet."""
        others = sum(running.get(server, 0) for running in self.peers.values())
        return self.own.get(server, 0) + others

    def choose(
        self, servers: Sequence[PlainServer], rng: random.Random
    ) -> PlainServer | None:
        """Return the server with the least work, or None of none."""
        best = None
        least = 0.0
        for server in servers:
            cost = self.running(server.key) / max(1, server.slots) + server.cost
            cost += 0.0 if server.local else REMOTE_COST
            cost += rng.random() * 0.05
            if best is None or cost < least:
                best, least = server, cost
        return best
