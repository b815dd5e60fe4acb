"""Which registered backend servers count as present."""

from cassiaford.gateway._messages import BackendServer

# Entries that lapsed in an outage of the store are back within two seconds of
# its return, if their servers live; then those still missing are gone.
RETURN_WITHIN_S = 2.2


class ServerRegistry:
    """The backend servers by key, through outages of the store.

    Examples
    --------
    >>> registry = ServerRegistry()
    >>> server = BackendServer("a", "s", "10.0.0.1:80", "cluj", 8)
    >>> registry.put("servers/a", server)
    >>> registry.store_returned(now=5.0)
    >>> registry.remove("servers/a", now=5.1)
    >>> len(registry.servers)
    1
    >>> registry.expire(now=8.0)
    True
    >>> len(registry.servers)
    0
    """

    def __init__(self):
        self.servers: dict[str, BackendServer] = {}
        self.missing_until: dict[str, float] = {}
        self.settled_at = 0.0
        self.store_away = False

    def store_lost(self) -> None:
        """Take in that the store does not answer; what is missing may lapse."""
        self.store_away = True

    def store_returned(self, now: float) -> None:
        """Expect entries that lapsed during an outage to come back."""
        self.store_away = False
        self.settled_at = now + RETURN_WITHIN_S
        for key in self.missing_until:
            self.missing_until[key] = self.settled_at

    def put(self, key: str, server: BackendServer) -> None:
        """Take in an entry."""
        self.servers[key] = server
        self.missing_until.pop(key, None)

    def remove(self, key: str, now: float) -> None:
        """Take in that an entry is missing."""
        if key not in self.servers:
            return
        if self.store_away or now < self.settled_at:
            # While the store is away, its return sets the time.
            self.missing_until[key] = self.settled_at
        else:
            self._drop(key)

    def expire(self, now: float) -> bool:
        """Drop servers that did not come back; return whether any was."""
        if self.store_away:
            return False
        lapsed = [key for key, until in self.missing_until.items() if now >= until]
        for key in lapsed:
            self._drop(key)
        return bool(lapsed)

    def _drop(self, key):
        self.servers.pop(key, None)
        self.missing_until.pop(key, None)
