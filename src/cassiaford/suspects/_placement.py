"""Servers for suspect requests, so that no two of them run beside each other."""

from collections.abc import Hashable, Iterable, Sequence


class SuspectPlacement:
    """Tracks where an instance runs suspects, and keeps further ones away.

    Examples
    --------
    >>> placement = SuspectPlacement()
    >>> placement.record_start("f", "engine-1")
    >>> servers = ("engine-1", "engine-2", "engine-3")
    >>> sorted(placement.servers_to_avoid("g", servers, (), "entry-1"))
    ['engine-1']
    """

    def __init__(self):
        self.running: dict[Hashable, set[str]] = {}

    def record_start(self, fingerprint: str, server: Hashable) -> None:
        """Record that a suspect was sent to a server."""
        self.running.setdefault(server, set()).add(fingerprint)

    def record_end(self, fingerprint: str, server: Hashable) -> None:
        """Record that a request, suspect or not, no longer runs on a server."""
        running = self.running.get(server)
        if running is not None:
            running.discard(fingerprint)
            if not running:
                del self.running[server]

    def servers_to_avoid(
        self,
        fingerprint: str,
        servers: Sequence[Hashable],
        instances: Iterable[str],
        instance: str,
    ) -> frozenset[Hashable]:
        """Return the servers that run another suspect or are assigned to peers."""
        occupied = {s for s, running in self.running.items() if running - {fingerprint}}
        assigned = servers_for_suspects(servers, instances, instance)
        return frozenset(servers) - (assigned - occupied)


def servers_for_suspects(
    servers: Sequence[Hashable], instances: Iterable[str], instance: str
) -> frozenset[Hashable]:
    """Return the servers on which an instance runs its suspects.

    The servers are divided among the instances, so that two instances that have
    just lost a server, and have not reported it to each other yet, do not send
    their suspects to the same one. If there are more instances than servers,
    several instances share one.

    Examples
    --------
    >>> servers = ("engine-1", "engine-2", "engine-3")
    >>> sorted(servers_for_suspects(servers, ("entry-1", "entry-2"), "entry-1"))
    ['engine-1', 'engine-3']
    """
    if not servers:
        return frozenset()
    names = sorted({*instances, instance})
    position = names.index(instance)
    if len(names) > len(servers):
        return frozenset((sorted(servers)[position % len(servers)],))
    return frozenset(sorted(servers)[position :: len(names)])
