"""A client of the platform's metadata store over HTTP."""

import asyncio
import base64
import binascii
import json
from urllib.parse import quote, urlencode

from cassiaford.gateway import (
    CallFailedError,
    Change,
    Changes,
    Committed,
    Condition,
    Conflict,
    HistoryLostError,
    HttpClient,
    Item,
    LeaseEndedError,
    MalformedError,
    Page,
    Reply,
    SharedStore,
    StoreDisconnectedError,
    StoreError,
    StoreRefusedError,
    Write,
)
from cassiaford.platform._json import boolean, integer, objects, parse_object, string

# The store responds within milliseconds; a call that takes this long is lost.
TIMEOUT_S = 1.0
_JSON_HEADERS = [("Content-Type", "application/json")]
ERA_HEADER = "store-era"
# Peers send eras to each other as numbers of 64 bits.
MAX_ERA_DIGITS = 18
# Statuses by which the store states that a call had no effect.
_REFUSED_STATUSES = frozenset({400, 403, 429, 503})


class PlatformStore(SharedStore):
    """Calls the store at one address."""

    def __init__(self, address: str, client: HttpClient):
        self.address = address
        self.client = client
        self.era = 0

    async def read(self, prefix: str) -> Page:
        """Return all items below a prefix, page by page."""
        items = []
        query = {"PathPrefix": prefix}
        revision = None
        while True:
            document = await self._get("/kv-range", query)
            page = _decode(_items, document, "items")
            items.extend(page)
            # A watch from the first page's revision misses no change.
            revision = revision or _decode(integer, document, "StoreRevision")
            if not page or not _decode(boolean, document, "Truncated"):
                return Page(tuple(items), revision)
            query["after"] = page[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first one."""
        query = {
            "PathPrefix": prefix,
            "after": str(after),
            "WaitMs": str(round(wait_s * 1000)),
        }
        document = await self._get("/kv-watch", query, wait_s)
        return Changes(
            _decode(_changes, document, "Events"),
            _decode(integer, document, "StoreRevision"),
        )

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Committed | Conflict:
        """Write values if all conditions hold."""
        puts = [
            {
                "Key": write.key,
                "Value": base64.b64encode(write.value).decode(),
                "Lease": write.lease,
            }
            for write in writes
        ]
        return await self._commit(conditions, puts, [])

    async def remove(self, key: str, revision: int) -> Committed | Conflict:
        """Remove a key if it still has the given revision."""
        return await self._commit((Condition(key, revision),), [], [key])

    async def grant_lease(self, time_to_live_s: float) -> int:
        """Create a lease and return its identifier."""
        body = {"TtlMs": round(time_to_live_s * 1000)}
        document = await self._post("/kv-lease", body)
        return _decode(integer, document, "Lease")

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._post(f"/kv-keep/{lease}", {}, lease_may_have_ended=True)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys written under it."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", b"", TIMEOUT_S)

    async def _commit(self, conditions, puts, removed):
        body = {
            "Expected": [{"Key": c.key, "Revision": c.revision} for c in conditions],
            "Puts": puts,
            "Remove": removed,
        }
        data = json.dumps(body).encode()
        reply = await self._call("POST", "/kv-txn", data, TIMEOUT_S)
        if reply.status == 404:
            raise LeaseEndedError("the transaction's lease has ended")
        if reply.status == 412:
            return Conflict(_decode(_items, _document(reply), "items"))
        _check(reply)
        return Committed(_decode(integer, _document(reply), "Revision"))

    async def _get(self, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query, quote_via=quote, safe='/')}"
        reply = await self._call("GET", target, b"", TIMEOUT_S + wait_s)
        if reply.status == 410:
            raise HistoryLostError(
                "the store no longer has the changes after this revision"
            )
        _check(reply)
        return _document(reply)

    async def _post(self, path, body, lease_may_have_ended=False):
        reply = await self._call("POST", path, json.dumps(body).encode(), TIMEOUT_S)
        if lease_may_have_ended and reply.status == 404:
            raise LeaseEndedError("the lease has ended")
        _check(reply)
        return _document(reply)

    async def _call(self, method, target, body, timeout_s) -> Reply:
        headers = _JSON_HEADERS if body else []
        try:
            reply = await self.client.call(
                method, self.address, target, timeout_s, headers, body
            )
        except asyncio.CancelledError:
            # A watch is cancelled after its own, shorter time.
            self.client.close_idle(self.address)
            raise
        except CallFailedError as error:
            # What silenced one connection may have silenced all that were open.
            self.client.close_idle(self.address)
            raise _store_error(error) from error
        self._follow_era(reply)
        return reply

    def _follow_era(self, reply):
        """Enter the era of a response; raise `StoreError` if it has none.

        What a response of an earlier era says does not hold any more.
        """
        era = _era(reply)
        if era is None:
            if self.era:
                raise StoreError("the store's response has no era")
            return
        if era < self.era:
            raise StoreError(f"the store's era went back from {self.era} to {era}")
        self.era = era


def _store_error(error):
    if not error.sent:
        return StoreRefusedError(str(error))
    kind = StoreDisconnectedError if error.disconnected else StoreError
    return kind(str(error))


def _era(reply):
    """Return the era in a response's headers, None if the store sends none."""
    values = [value for name, value in reply.headers if name.lower() == ERA_HEADER]
    if not values:
        return None
    value = values[0]
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_ERA_DIGITS):
        raise StoreError(f"the store's era is not a number: {value[:MAX_ERA_DIGITS]!r}")
    return int(value)


def _check(reply):
    if reply.status == 200:
        return
    kind = StoreRefusedError if reply.status in _REFUSED_STATUSES else StoreError
    raise kind(f"the store's response has status {reply.status}")


def _document(reply):
    try:
        return parse_object(reply.body)
    except MalformedError as error:
        raise StoreError(f"the store's response is malformed: {error}") from error


def _decode(decode, document, name):
    try:
        return decode(document, name)
    except (MalformedError, binascii.Error) as error:
        raise StoreError(
            f"the store's response has an unknown format: {error}"
        ) from error


def _items(document, name):
    return tuple(_item(entry) for entry in objects(document, name))


def _changes(document, name):
    changes = []
    for entry in objects(document, name):
        item = None if entry.get("Removed") else _item(entry)
        revision = integer(entry, "Revision")
        changes.append(Change(string(entry, "Key"), revision, item))
    return tuple(changes)


def _item(entry):
    value = base64.b64decode(string(entry, "Value"), validate=True)
    return Item(string(entry, "Key"), value, integer(entry, "Revision", 0))
