"""The platform's metadata store over HTTP."""

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
    StoreError,
    StoreRefusedError,
    Write,
)
from cassiaford.platform._json import flag, objects, parse_object, text, whole

# The store answers in milliseconds; a call unanswered for this long is lost.
TIME_OUT_S = 1.0
_JSON = [("Content-Type", "application/json")]
# The store states with these that it did nothing.
_REFUSED = frozenset({400, 403, 429, 503})


class PlatformStore(SharedStore):
    """Calls the store at one address."""

    def __init__(self, address: str, caller: HttpClient):
        self.address = address
        self.caller = caller

    async def read(self, prefix: str) -> Page:
        """Return all items below a prefix, page by page."""
        items = []
        query = {"PathPrefix": prefix}
        revision = None
        while True:
            document = await self._get("/kv-range", query)
            page = _decoded(_items, document, "items")
            items.extend(page)
            # Watching from the first page's revision misses nothing.
            revision = revision or _decoded(whole, document, "StoreRevision")
            if not page or not _decoded(flag, document, "Truncated"):
                return Page(tuple(items), revision)
            query["after"] = page[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, as soon as there is one."""
        query = {
            "PathPrefix": prefix,
            "after": str(after),
            "WaitMs": str(round(wait_s * 1000)),
        }
        document = await self._get("/kv-watch", query, wait_s)
        return Changes(
            _decoded(_changes, document, "Events"),
            _decoded(whole, document, "StoreRevision"),
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
        """Remove a key if it still has a revision."""
        return await self._commit((Condition(key, revision),), [], [key])

    async def grant_lease(self, time_to_live_s: float) -> int:
        """Return a new lease."""
        body = {"TtlMs": round(time_to_live_s * 1000)}
        document = await self._post("/kv-lease", body)
        return _decoded(whole, document, "Lease")

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._post(f"/kv-keep/{lease}", {}, ends_with_404=True)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove what was written under it."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", b"", TIME_OUT_S)

    async def _commit(self, conditions, puts, removed):
        body = {
            "Expected": [{"Key": c.key, "Revision": c.revision} for c in conditions],
            "Puts": puts,
            "Remove": removed,
        }
        data = json.dumps(body).encode()
        reply = await self._call("POST", "/kv-txn", data, TIME_OUT_S)
        if reply.status == 404:
            raise LeaseEndedError("the transaction's lease has ended")
        if reply.status == 412:
            return Conflict(_decoded(_items, _document(reply), "items"))
        _check(reply)
        return Committed(_decoded(whole, _document(reply), "Revision"))

    async def _get(self, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query, quote_via=quote, safe='/')}"
        reply = await self._call("GET", target, b"", TIME_OUT_S + wait_s)
        if reply.status == 410:
            raise HistoryLostError("the store has dropped this history")
        _check(reply)
        return _document(reply)

    async def _post(self, path, body, ends_with_404=False):
        reply = await self._call("POST", path, json.dumps(body).encode(), TIME_OUT_S)
        if ends_with_404 and reply.status == 404:
            raise LeaseEndedError("the lease has ended")
        _check(reply)
        return _document(reply)

    async def _call(self, method, target, body, time_out_s) -> Reply:
        headers = _JSON if body else []
        try:
            return await self.caller.call(
                method, self.address, target, time_out_s, headers, body
            )
        except CallFailedError as error:
            kind = StoreError if error.sent else StoreRefusedError
            raise kind(str(error)) from error


def _check(reply):
    if reply.status == 200:
        return
    kind = StoreRefusedError if reply.status in _REFUSED else StoreError
    raise kind(f"the store answered {reply.status}")


def _document(reply):
    try:
        return parse_object(reply.body)
    except MalformedError as error:
        raise StoreError(f"the store's answer is {error}") from error


def _decoded(decode, document, name):
    try:
        return decode(document, name)
    except (MalformedError, binascii.Error) as error:
        raise StoreError(f"the store's answer has an unknown form: {error}") from error


def _items(document, name):
    return tuple(_item(entry) for entry in objects(document, name))


def _changes(document, name):
    changes = []
    for entry in objects(document, name):
        item = None if entry.get("Removed") else _item(entry)
        revision = whole(entry, "Revision")
        changes.append(Change(text(entry, "Key"), revision, item))
    return tuple(changes)


def _item(entry):
    value = base64.b64decode(text(entry, "Value"), validate=True)
    return Item(text(entry, "Key"), value, whole(entry, "Revision", 0))
