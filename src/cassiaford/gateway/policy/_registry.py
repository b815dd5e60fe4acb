"""The registered backend servers, across outages of the store."""

from cassiaford.gateway._messages import BackendServer

# Live servers whose entries lapsed in an outage register again within two
# seconds of the store's recovery. Servers still missing after this are gone.
REREGISTRATION_TIMEOUT_S = 2.2
# The store must have responded this shortly before a missing server is dropped, since
# another outage, in which it cannot register, is noticed only after a while.
CONFIRMATION_S = 1.0


class ServerRegistry:
    """The backend servers by key, kept through outages of the store.

    Examples
    --------
    >>> registry = ServerRegistry()
    >>> server = BackendServer("a", "s", "10.0.0.1:80", "cluj", 8)
    >>> registry.put("servers/a", server)
    >>> registry.record_store_recovery(now=5.0)
    >>> registry.remove("servers/a", now=5.1)
    >>> len(registry.servers)
    1
    >>> registry.expire(now=8.0, responded_at=8.0)
    ['servers/a']
    >>> len(registry.servers)
    0
    """

    def __init__(self):
        self.servers: dict[str, BackendServer] = {}
        self.missing_until: dict[str, float] = {}
        self.reregistration_deadline = 0.0
        self.store_unreachable = False

    def record_store_loss(self) -> None:
        """Record that the store may be away, so that entries may lapse."""
        self.store_unreachable = True

    def record_store_presence(self) -> None:
        """Record that the store has not been away, so that no entry lapsed."""
        self.store_unreachable = False

    def record_store_recovery(self, now: float) -> None:
        """Wait for entries that lapsed during an outage to be registered again."""
        self.store_unreachable = False
        self.reregistration_deadline = now + REREGISTRATION_TIMEOUT_S
        for key in self.missing_until:
            self.missing_until[key] = self.reregistration_deadline

    def put(self, key: str, server: BackendServer) -> None:
        """Add or replace the server of an entry."""
        self.servers[key] = server
        self.missing_until.pop(key, None)

    def remove(self, key: str, now: float) -> None:
        """Remove the server of a missing entry, after an outage with a delay."""
        if key not in self.servers:
            return
        if self.store_unreachable or now < self.reregistration_deadline:
            # During an outage, the store's recovery sets the time.
            self.missing_until[key] = self.reregistration_deadline
        else:
            self._drop(key)

    def expire(self, now: float, responded_at: float) -> list[str]:
        """Remove the servers that did not register again; return their keys.

        `responded_at` is the time of the store's latest response.
        """
        if self.store_unreachable:
            return []
        expired = [
            key
            for key, until in self.missing_until.items()
            if now >= until and responded_at >= until - CONFIRMATION_S
        ]
        for key in expired:
            self._drop(key)
        return expired

    def _drop(self, key):
        self.servers.pop(key, None)
        self.missing_until.pop(key, None)
