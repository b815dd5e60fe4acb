"""Records of named versions in the shared store, for a restart of all instances.

The time of a version has begun once it is in its model's record, and lasts for as
long as a key of its own, under a lease, is beside it. So what is left of the time
outlives the instances, and no clocks are compared.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.gateway._mirror import MirrorSync
from cassiaford.gateway._store import (
    Change,
    Condition,
    SharedStore,
    StoreError,
    Write,
)
from cassiaford.gateway._view import View, digest
from cassiaford.gateway.policy import VersionAge

STEP_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.5
# Peers that were up before have told what they know after two whole reports.
PEERS_TELL_WITHIN_S = 2.0
# The store grants no shorter leases.
MIN_LEASE_S = 1.0
# Keep a transaction small.
MAX_WRITES = 16
# Records must be read before the keys under leases: pages are not a snapshot, and
# a key that is missing stands for a time that is over.
RECORDS = "records/"
TERMS = "terms/"
# Identifies these calls in the tracking of the store's reachability.
STORE_CLIENT = "versions"


@dataclass(frozen=True)
class VersionRecord:
    """The versions of a model whose time has begun."""

    model: str
    versions: tuple[int, ...]
    revision: int

    def encode(self) -> bytes:
        """Return the value of the record's key."""
        document = {"model": self.model, "versions": self.versions}
        return json.dumps(document).encode()


def decode_record(value: bytes, revision: int) -> VersionRecord:
    """Return a record; raise `ValueError`."""
    try:
        document = json.loads(value)
        versions = tuple(int(version) for version in document["versions"])
        return VersionRecord(str(document["model"]), versions, revision)
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"invalid record of versions: {error!r}") from error


class VersionTerms:
    """Writes the records while this instance gives orders, and goes by them.

    Old weights may be used for `term_s` after a newer version was named. The
    gateway sets the attributes that are functions: `may_write` returns whether this
    instance gives orders, and `is_complete` whether it has read everything.
    """

    def __init__(
        self,
        prefix: str,
        term_s: float,
        view: View,
        store: SharedStore,
        sync: MirrorSync,
    ):
        self.prefix = prefix
        self.term_s = term_s
        self.view = view
        self.store = store
        self.sync = sync
        self.records: dict[str, VersionRecord] = {}
        self.terms: set[str] = set()
        # When the time of a version was first found to be over, by key.
        self.over_since: dict[str, float] = {}
        self.may_write: Callable[[], bool] = lambda: False
        self.is_complete: Callable[[], bool] = lambda: False
        self._complete_since: float | None = None

    def on_change(self, change: Change) -> None:
        """Apply a change of a record or of a key under a lease; raise `ValueError`."""
        key = change.key.removeprefix(self.prefix)
        if key.startswith(TERMS):
            if change.item is not None:
                self.terms.add(change.key)
            else:
                self.terms.discard(change.key)
        elif change.item is None:
            self.records.pop(change.key, None)
        else:
            # A record that cannot be decoded is written anew.
            revision = change.item.revision
            self.records[change.key] = VersionRecord("", (), revision)
            self.records[change.key] = decode_record(change.item.value, revision)

    async def run(self) -> None:
        """Go by the records, and write them while it may, until cancelled."""
        while True:
            self.apply_records()
            delay_s = STEP_INTERVAL_S
            if not self.may_write():
                self.sync.clear_failure(STORE_CLIENT)
            elif self._is_informed():
                delay_s = await self._write_records()
            await asyncio.sleep(delay_s)

    def apply_records(self) -> None:
        """Take the versions for overdue whose time is over, if nobody knows better."""
        informed, now = self._is_informed(), self.view.now()
        named = self.view.named_versions
        over = self._versions_over() if self.is_complete() else {}
        self.over_since = {key: self.over_since.get(key, now) for key in over}
        for key, (model, version) in over.items():
            if informed and not named.is_witnessed(model, version):
                age_s = self.term_s + now - self.over_since[key]
                self.view.update_recorded_age(VersionAge(model, version, age_s))

    def _versions_over(self):
        """Return the recorded versions whose time is over, by their keys."""
        recorded = {
            self._term_key(record.model, version): (record.model, version)
            for record in self.records.values()
            for version in record.versions
        }
        return {k: version for k, version in recorded.items() if k not in self.terms}

    def _is_informed(self):
        """Return whether peers have had the time to tell what they know."""
        now = self.view.now()
        if not self.is_complete():
            self._complete_since = None
            return False
        if self._complete_since is None:
            self._complete_since = now
        return now - self._complete_since >= PEERS_TELL_WITHIN_S

    async def _write_records(self):
        """Write what is not recorded yet; return the time until the next step."""
        due = {model: self._due(model) for model in self.view.named_versions.models}
        due = {model: ages for model, ages in due.items() if ages}
        for model, ages in due.items():
            await self._try_to_write(model, ages)
        # What was written comes back with a watch.
        return RETRY_INTERVAL_S if due else STEP_INTERVAL_S

    async def _try_to_write(self, model, due):
        started_at = self.sync.clock()
        try:
            await self._write_record(model, due)
            self.sync.record_success(STORE_CLIENT)
        except StoreError as error:
            self.sync.record_failure(STORE_CLIENT, error, started_at)

    def _due(self, model):
        recorded = self._record(model).versions
        return [
            age
            for age in self.view.named_versions.ages(model, self.view.now())
            if age.version not in recorded
            and not 0.0 < self.term_s - age.age_s < MIN_LEASE_S
        ][:MAX_WRITES]

    def _record(self, model):
        return self.records.get(self._record_key(model), VersionRecord(model, (), 0))

    async def _write_record(self, model, due):
        previous = self._record(model)
        writes = await self._terms_of(due)
        begun = [age.version for age in due]
        versions = (*self._retained(previous), *begun)
        record = VersionRecord(model, tuple(sorted(versions)), 0)
        key = self._record_key(model)
        # The condition fails for a holder that was replaced, and for a call that
        # arrives late.
        await self.store.transact(
            (Condition(key, previous.revision),),
            (Write(key, record.encode()), *writes),
        )

    def _retained(self, record):
        """Return the versions of a record on which an age may still depend."""
        ages = self.view.named_versions.ages(record.model, self.view.now())
        known = {age.version for age in ages}
        return [
            version
            for version in record.versions
            if version in known or self._term_key(record.model, version) in self.terms
        ]

    async def _terms_of(self, ages):
        """Return the keys under leases of the versions whose time is not over."""
        writes = []
        for age in ages:
            if (left_s := self.term_s - age.age_s) > 0.0:
                lease = await self.store.grant_lease(left_s)
                writes.append(Write(self._term_key(age.model, age.version), b"", lease))
        return writes

    def _record_key(self, model):
        return f"{self.prefix}{RECORDS}{digest(model):08x}"

    def _term_key(self, model, version):
        return f"{self.prefix}{TERMS}{digest(model):08x}/{version}"
