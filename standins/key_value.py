"""Stand-in for the platform's key-value service.

``POST /control/faults`` sets any of: `down` (every call gets a 503), `delay_s`
(a delay before each call takes effect), `lose_write_answers` (the number of
writes that take effect but whose connection is closed without a response).
``GET /control/counts`` returns the number of calls so far by kind.
"""

import asyncio
import base64
import collections
import itertools
import time
from dataclasses import dataclass, field

from standins._http import (
    HttpServer,
    Request,
    Response,
    address_parser,
    json_response,
    run_server,
    set_faults,
)

LEASE_CHECK_INTERVAL_S = 0.02
MAX_VALUE_BYTES = 1024 * 1024
UNAVAILABLE = json_response({"error": "unavailable"}, 503)


@dataclass
class _Entry:
    value: str
    version: int
    lease_id: str | None


@dataclass
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass
class _Faults:
    down: bool = False
    delay_s: float = 0.0
    lose_write_answers: int = 0


class Store:
    """Versioned entries, leases, and an event that wakes watches on changes."""

    def __init__(self):
        self.entries: dict[str, _Entry] = {}
        self.leases: dict[str, _Lease] = {}
        self.changed = asyncio.Event()
        # A version is never reused, even if a key is deleted and set again.
        self.versions = itertools.count(1)
        self.lease_ids = itertools.count(1)

    def entry_json(self, key: str) -> dict:
        """Return an entry ready for JSON; a missing key has version 0."""
        entry = self.entries.get(key)
        if entry is None:
            return {"key": key, "value": None, "version": 0}
        return {"key": key, "value": entry.value, "version": entry.version}

    def compare_and_swap(self, key, value, version, lease_id) -> bool:
        """Set or delete a key if it has the expected version and the lease exists."""
        if self.entry_json(key)["version"] != version:
            return False
        if lease_id is not None and lease_id not in self.leases:
            return False
        self._remove(key)
        if value is not None:
            self.entries[key] = _Entry(value, next(self.versions), lease_id)
        if lease_id is not None:
            self.leases[lease_id].keys.add(key)
        self.notify()
        return True

    def grant(self, ttl_s: float) -> str:
        """Create a lease and return its identifier."""
        lease_id = f"lease-{next(self.lease_ids)}"
        self.leases[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return lease_id

    def renew(self, lease_id: str) -> bool:
        """Renew a lease; return False if it has expired."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_at = time.monotonic() + lease.ttl_s
        return True

    def revoke(self, lease_id: str) -> None:
        """Remove a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        for key in lease.keys if lease else ():
            entry = self.entries.get(key)
            if entry and entry.lease_id == lease_id:
                del self.entries[key]
        self.notify()

    def expire(self) -> None:
        """Revoke the leases that were not renewed in time."""
        now = time.monotonic()
        expired = [
            name for name, lease in self.leases.items() if lease.expires_at < now
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def notify(self) -> None:
        """Wake all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _remove(self, key):
        entry = self.entries.pop(key, None)
        if entry and entry.lease_id in self.leases:
            self.leases[entry.lease_id].keys.discard(key)


class KeyValueStandIn:
    """The handlers of the service's API calls, with faults that can be set."""

    def __init__(self):
        self.store = Store()
        self.faults = _Faults()
        self.counts = collections.Counter()

    async def handle(self, request: Request) -> Response | None:
        """Handle one API call."""
        if request.path == "/control/counts":
            return json_response(self.counts)
        if request.path == "/control/faults":
            return self._set_faults(request.json())
        kind, call = self._find(request)
        if call is None:
            return json_response({"error": "unknown call"}, 404)
        self.counts[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return UNAVAILABLE
        response = await call(request)
        if request.method != "GET" and self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            request.connection.abort()
            return None
        return response

    async def expire_leases(self) -> None:
        """Revoke expired leases periodically until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire()

    def _set_faults(self, document):
        response = set_faults(self.faults, document)
        # Wake the watches so that they see the new faults.
        self.store.notify()
        return response

    def _find(self, request):
        method, path = request.method, request.path
        if method == "GET" and path == "/v1/kv":
            return "list", self._list
        if method == "GET" and path.startswith("/v1/kv/"):
            return "get", self._get
        if method == "GET" and path.startswith("/v1/watch/"):
            return "watch", self._watch
        if method == "POST" and path == "/v1/cas":
            return "cas", self._cas
        if method == "POST" and path == "/v1/leases":
            return "grant", self._grant
        if method == "POST" and path.endswith("/renew"):
            return "renew", self._renew
        if method == "DELETE" and path.startswith("/v1/leases/"):
            return "revoke", self._revoke
        return "", None

    async def _list(self, request):
        prefix = request.query.get("prefix", "")
        keys = sorted(key for key in self.store.entries if key.startswith(prefix))
        return json_response({"entries": [self.store.entry_json(key) for key in keys]})

    async def _get(self, request):
        return json_response(
            self.store.entry_json(request.path.removeprefix("/v1/kv/"))
        )

    async def _watch(self, request):
        key = request.path.removeprefix("/v1/watch/")
        version = int(request.query["version"])
        deadline = time.monotonic() + float(request.query["timeout"])
        while not self.faults.down and self.store.entry_json(key)["version"] == version:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or request.connection.closed.is_set():
                break
            await _wait_for_event(self.store.changed, remaining_s)
        return (
            UNAVAILABLE
            if self.faults.down
            else json_response(self.store.entry_json(key))
        )

    async def _cas(self, request):
        call = request.json()
        key, value = call["key"], call["value"]
        if value is not None and len(base64.b64decode(value)) > MAX_VALUE_BYTES:
            return json_response({"error": "value too large"}, 413)
        lease_id = call.get("lease")
        swapped = self.store.compare_and_swap(key, value, call["version"], lease_id)
        return json_response({"swapped": swapped, "entry": self.store.entry_json(key)})

    async def _grant(self, request):
        ttl_s = float(request.json()["ttl_s"])
        return json_response({"lease_id": self.store.grant(ttl_s), "ttl_s": ttl_s})

    async def _renew(self, request):
        lease_id = request.path.split("/")[-2]
        return json_response({"held": self.store.renew(lease_id)})

    async def _revoke(self, request):
        self.store.revoke(request.path.rsplit("/", 1)[1])
        return Response(204)


async def _wait_for_event(event, timeout_s):
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return


def main() -> None:
    """Run the stand-in."""
    arguments = address_parser(__doc__).parse_args()
    stand_in = KeyValueStandIn()
    server = HttpServer(stand_in.handle)
    run_server(server, arguments.address, stand_in.expire_leases)


if __name__ == "__main__":
    main()
