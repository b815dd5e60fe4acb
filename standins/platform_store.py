"""A stand-in of the platform's metadata store, written from its page.

It has the faults that the store may have: it refuses, falls silent, loses the
answers of writes, forgets its history, and lets leases lapse.
"""

import asyncio
import base64
import itertools
import json
from dataclasses import dataclass

from standins.platform_http import StandInServer, answer_bytes, read_call


@dataclass
class StoreFaults:
    """What goes wrong at the moment."""

    refuse: bool = False
    silent: bool = False
    lose_writes: int = 0


class PlatformStore(StandInServer):
    """Keys with revisions, leases, transactions and watches."""

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

    # What operators and backend servers do.

    async def put(self, key: str, document: object, lease: int = 0) -> None:
        """Write a JSON document."""
        data = document if isinstance(document, bytes) else json.dumps(document)
        await self.put_bytes(
            key, data.encode() if isinstance(data, str) else data, lease
        )

    async def put_bytes(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write any bytes."""
        async with self.changed:
            self._put(key, base64.b64encode(value).decode(), lease, self._next())
            self.changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove a key."""
        async with self.changed:
            self._remove(key, self._next())
            self.changed.notify_all()

    async def forget_history(self) -> None:
        """Drop the history of changes; watches from before get 410."""
        async with self.changed:
            self.history.clear()
            self.compacted = self.revision
            self.changed.notify_all()

    async def lapse(self, lease: int) -> None:
        """End a lease."""
        async with self.changed:
            self._end_lease(lease)
            self.changed.notify_all()

    # What instances call.

    async def serve(self, reader, writer):
        """Answer calls until the connection ends."""
        while (call := await read_call(reader)) is not None:
            self.calls.append(f"{call.method} {call.path}")
            if self.faults.silent:
                await asyncio.sleep(3600)
            if self.faults.refuse:
                status, document = 503, {}
            else:
                status, document = await self._answer(call)
            if call.path == "/kv-txn" and self.faults.lose_writes:
                self.faults.lose_writes -= 1
                await asyncio.sleep(3600)
            writer.write(answer_bytes(status, {}, json.dumps(document).encode()))
            await writer.drain()

    async def _answer(self, call):
        self._lapse_due()
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
                self._renew(lease, ttl_s)
                return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
            case "POST", "kv-keep":
                return self._keep(int(name[2]))
            case "DELETE", "kv-lease-end":
                await self.lapse(int(name[2]))
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
        if after < self.compacted:
            return 410, {}

        def found():
            return [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await self.changed.wait_for(
                        lambda: found() or after < self.compacted
                    )
            except TimeoutError:
                return 200, {"Events": [], "StoreRevision": self.revision}
            if after < self.compacted:
                return 410, {}
            return 200, {"Events": found(), "StoreRevision": self.revision}

    async def _transact(self, body):
        async with self.changed:
            for row in body["Expected"]:
                item = self.items.get(row["Key"])
                if (item["Revision"] if item else 0) != row["Revision"]:
                    keys = [r["Key"] for r in body["Expected"]]
                    return 412, {
                        "items": [self.items[k] for k in keys if k in self.items]
                    }
            for put in body["Puts"]:
                if put.get("Lease") and put["Lease"] not in self.leases:
                    return 404, {}
            revision = self._next()
            for put in body["Puts"]:
                self._put(put["Key"], put["Value"], put.get("Lease", 0), revision)
            for key in body["Remove"]:
                self._remove(key, revision)
            self.changed.notify_all()
        return 200, {"Revision": revision}

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        self._renew(lease, 10.0)
        return 200, {"TtlMs": 10_000}

    def _renew(self, lease, ttl_s):
        self.leases[lease] = asyncio.get_running_loop().time() + ttl_s

    def _lapse_due(self):
        now = asyncio.get_running_loop().time()
        for lease in [lease for lease, until in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            if lease:
                self._remove(key, self._next())

    def _next(self):
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
