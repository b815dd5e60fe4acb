"""Stand-in for the platform's metadata store, after its documented interface.

It simulates the faults that the real store may have: it rejects calls, goes
silent, loses responses to writes, compacts its history, expires leases and
comes back from an older copy of itself.
"""

import asyncio
import base64
import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass

from standins.platform_http import StandInServer, read_call, response_bytes


@dataclass
class StoreFaults:
    """The faults in effect.

    `lose_write_responses` is the number of writes that take effect but get no
    response. Reads of keys below `refused_prefix` are refused, if it is set.
    """

    refuse: bool = False
    refused_prefix: str | None = None
    silent: bool = False
    lose_write_responses: int = 0


class PlatformStore(StandInServer):
    """A store of keys with revisions, leases, transactions and watches."""

    def __init__(self):
        super().__init__()
        self.faults = StoreFaults()
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.compacted = 0
        self.leases: dict[int, float] = {}
        self.next_lease = itertools.count(7000)
        self.changed = asyncio.Condition()
        self.calls: list[str] = []
        self.era = 1

    # Changes that operators and backend servers make.

    async def put(self, key: str, document: object, lease: int = 0) -> None:
        """Write a document as JSON, or bytes unchanged."""
        data = document if isinstance(document, bytes) else json.dumps(document)
        await self.put_bytes(
            key, data.encode() if isinstance(data, str) else data, lease
        )

    async def put_bytes(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write bytes as the value of a key."""
        async with self.changed:
            self._put(
                key, base64.b64encode(value).decode(), lease, self._next_revision()
            )
            self.changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove a key."""
        async with self.changed:
            self._remove(key, self._next_revision())
            self.changed.notify_all()

    async def compact_history(self) -> None:
        """Discard the history of changes; watches of an older revision get 410."""
        async with self.changed:
            self.history.clear()
            self.compacted = self.revision
            self.changed.notify_all()

    def copy(self) -> tuple[dict[str, dict], dict[int, float], int]:
        """Return the data from which `restore` may be called later."""
        return dict(self.items), dict(self.leases), self.revision

    async def restore(
        self,
        copy: tuple[dict[str, dict], dict[int, float], int],
        documents: Iterable[tuple[str, object]] = (),
    ) -> None:
        """Forget what was written since a copy, and start another era.

        Revisions and leases are given out again. `documents` are written before
        any watch notices.
        """
        async with self.changed:
            items, leases, self.revision = copy
            self.items, self.leases = dict(items), dict(leases)
            self.next_lease = itertools.count(max(self.leases, default=6999) + 1)
            self.history = [
                event for event in self.history if event["Revision"] <= self.revision
            ]
            self.era += 1
            for key, document in documents:
                value = base64.b64encode(json.dumps(document).encode()).decode()
                self._put(key, value, 0, self._next_revision())
            self.changed.notify_all()

    async def expire_lease(self, lease: int) -> None:
        """Expire a lease, which removes its keys."""
        async with self.changed:
            self._end_lease(lease)
            self.changed.notify_all()

    # Calls of instances over HTTP.

    async def serve(self, reader, writer):
        """Handle calls until the connection is closed."""
        while (call := await read_call(reader)) is not None:
            self.calls.append(f"{call.method} {call.path}")
            if self.faults.silent:
                await asyncio.sleep(3600)
            if self.faults.refuse or self._is_refused_read(call):
                status, document = 503, {}
            else:
                status, document = await self._handle(call)
            if call.path == "/kv-txn" and self.faults.lose_write_responses:
                self.faults.lose_write_responses -= 1
                await asyncio.sleep(3600)
            headers = {"Store-Era": str(self.era)}
            writer.write(response_bytes(status, headers, json.dumps(document).encode()))
            await writer.drain()

    def _is_refused_read(self, call):
        prefix = self.faults.refused_prefix
        return prefix is not None and call.query.get("PathPrefix", "") == prefix

    async def _handle(self, call):
        self._expire_due_leases()
        name = call.path.lstrip("/").partition("/")
        body = json.loads(call.body) if call.body else {}
        match call.method, name[0]:
            case "GET", "kv-range":
                return 200, self._range(call.query)
            case "GET", "kv-watch":
                return await self._watch(call.query)
            case "POST", "kv-txn":
                return await self._transact(body)
            case "POST", "kv-lease":
                lease = next(self.next_lease)
                ttl_s = body["TtlMs"] / 1000
                self.leases[lease] = ttl_s
                self._extend_lease(lease, ttl_s)
                return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
            case "POST", "kv-keep":
                return self._keep_alive(int(name[2]))
            case "DELETE", "kv-lease-end":
                await self.expire_lease(int(name[2]))
                return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query["PathPrefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:3]]
        return {
            "items": page,
            "Truncated": len(keys) > 3,
            "StoreRevision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query["PathPrefix"], int(query["after"])
        if not self.compacted <= after <= self.revision:
            return 410, {}

        def matching_events():
            return [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await self.changed.wait_for(
                        lambda: (
                            matching_events()
                            or not self.compacted <= after <= self.revision
                        )
                    )
            except TimeoutError:
                return 200, {"Events": [], "StoreRevision": self.revision}
            if not self.compacted <= after <= self.revision:
                return 410, {}
            return 200, {"Events": matching_events(), "StoreRevision": self.revision}

    async def _transact(self, body):
        async with self.changed:
            for expected in body["Expected"]:
                item = self.items.get(expected["Key"])
                if (item["Revision"] if item else 0) != expected["Revision"]:
                    keys = [r["Key"] for r in body["Expected"]]
                    return 412, {
                        "items": [self.items[k] for k in keys if k in self.items]
                    }
            for put in body["Puts"]:
                if put.get("Lease") and put["Lease"] not in self.leases:
                    return 404, {}
            revision = self._next_revision()
            for put in body["Puts"]:
                self._put(put["Key"], put["Value"], put.get("Lease", 0), revision)
            for key in body["Remove"]:
                self._remove(key, revision)
            self.changed.notify_all()
        return 200, {"Revision": revision}

    def _keep_alive(self, lease):
        if lease not in self.leases:
            return 404, {}
        self._extend_lease(lease, 10.0)
        return 200, {"TtlMs": 10_000}

    def _extend_lease(self, lease, ttl_s):
        self.leases[lease] = asyncio.get_running_loop().time() + ttl_s

    def _expire_due_leases(self):
        now = asyncio.get_running_loop().time()
        for lease in [lease for lease, until in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            if lease:
                self._remove(key, self._next_revision())

    def _next_revision(self):
        self.revision += 1
        return self.revision

    def _put(self, key, value, lease, revision):
        created = self.items[key]["CreateRevision"] if key in self.items else revision
        item = {
            "Key": key,
            "Value": value,
            "Revision": revision,
            "CreateRevision": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key, revision):
        if self.items.pop(key, None) is not None:
            self.history.append({"Key": key, "Revision": revision, "Removed": True})
