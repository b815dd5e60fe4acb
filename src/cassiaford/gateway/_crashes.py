"""Requests that crash servers: evidence, reports to peers, the stored record.

Peers report crashes to each other within milliseconds. A request that was
present at several crashes is also written to the shared store, which reaches
instances that are cut off from their peers, and outlives a restart of all.
"""

import asyncio
import json
from collections.abc import Callable

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._job import Job
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._mirror import MirrorSync
from cassiaford.gateway._peer_codec import server_crash
from cassiaford.gateway._store import Change, SharedStore, StoreError, Write
from cassiaford.gateway._view import server_key
from cassiaford.gateway.policy import CrashEvidence
from cassiaford.logs import Event
from cassiaford.suspects import (
    ClearedFingerprint,
    CrashReport,
    SuspectTracker,
)
from cassiaford.verdict import Refusal, RefusalReason

# Suspects are not kept apart here, since gateways may outnumber the servers, so
# requests beside a fatal one often meet its next crash too.
CRASHES_TO_REFUSE = 3
# One more run tells which of several requests that met the same crashes is fatal.
CRASHES_IF_AMBIGUOUS = 4
# A request is written to the store from this crash on.
CRASHES_TO_STORE = 2
# The longest time that the platform's store grants a lease for.
STORED_FOR_S = 600.0
# A crash is part of whole reports for this long, in case reports are lost.
REPEAT_FOR_S = 5.0
# Keep a report within one datagram.
MAX_REPORTED = 64
MAX_WRITES = 16
RETRY_INTERVAL_S = 1.0
# Identifies these calls in the tracking of the store's reachability.
STORE_CLIENT = "suspects"


class CrashMonitor:
    """Finds the requests that crash servers, together with the other instances.

    The gateway sets `on_crash`, which is called when a crash has been recorded
    and should be reported to peers.
    """

    def __init__(
        self,
        instance: str,
        prefix: str,
        store: SharedStore,
        sync: MirrorSync,
        log: EventLog,
    ):
        self.instance = instance
        self.prefix = prefix
        self.store = store
        self.sync = sync
        self.log = log
        self.tracker = SuspectTracker(CRASHES_TO_REFUSE, CRASHES_IF_AMBIGUOUS)
        self.evidence = CrashEvidence()
        self.on_crash: Callable[[], None] = lambda: None
        self.refused: set[str] = set()
        self._recent: list[tuple[float, CrashReport | ClearedFingerprint]] = []
        self._unreported: list[CrashReport | ClearedFingerprint] = []
        self._unwritten: dict[str, None] = {}
        self._has_unwritten = asyncio.Event()
        self._now = asyncio.get_running_loop().time

    @property
    def refused_count(self) -> int:
        """The number of requests that are refused."""
        return len(self.refused)

    # Decisions on requests.

    def refusal(self, job: Job) -> Refusal | None:
        """Return a refusal if a request has crashed too many servers."""
        if not self.is_refused(job):
            return None
        return Refusal(
            RefusalReason.CRASHES_SERVERS,
            job.verdict,
            "backend servers crashed while they ran this request; it is not run again",
        )

    def is_refused(self, job: Job) -> bool:
        """Return whether a request has crashed too many servers."""
        return self._has_suspects and self.tracker.is_refused(
            job.fingerprint, self._now()
        )

    def is_suspect(self, job: Job) -> bool:
        """Return whether a request was running at a crash."""
        return self._has_suspects and self.tracker.is_suspect(
            job.fingerprint, self._now()
        )

    @property
    def _has_suspects(self):
        return bool(self.tracker.suspicions)

    # Observations of this instance.

    def record_break(self, job: Job, server: BackendServer) -> None:
        """Record that a server stopped responding while it ran a request."""
        key = server_key(server)
        if self.evidence.record_break(key, job.fingerprint, self._now()):
            self._record_crash(server, (job.fingerprint,))

    def record_server_end(self, server: BackendServer) -> None:
        """Record that a server's incarnation has ended without draining."""
        fingerprints = self.evidence.record_end(server_key(server), self._now())
        if fingerprints:
            self._record_crash(server, fingerprints)

    def record_completion(self, job: Job) -> None:
        """Clear the suspicion of a request that ran to completion."""
        if self.evidence.breaks:
            self.evidence.remove_request(job.fingerprint)
        if not self._has_suspects:
            return
        cleared = self.tracker.record_completion(job.fingerprint, self._now())
        if cleared is not None:
            self._unreported.append(cleared)

    def update(self) -> None:
        """Remove evidence that is too old, and log which requests are now refused."""
        self.evidence.expire(self._now())
        self._update_refused()

    def _record_crash(self, server, fingerprints):
        now = self._now()
        crash = server_crash(server_key(server))
        self.tracker.record_crash(crash, fingerprints, now)
        self.log.write(
            Event.SERVER_CRASH_REPORTED,
            server=server.server_id,
            requests=len(fingerprints),
            fingerprints=",".join(fingerprints[:MAX_WRITES]),
        )
        for fingerprint in fingerprints:
            self._store_if_repeated(fingerprint)
        self._unreported.append(CrashReport(crash, fingerprints))
        self.on_crash()

    def _store_if_repeated(self, fingerprint):
        """Have a request written to the store if it was present at several crashes."""
        if self.tracker.crash_count(fingerprint, self._now()) >= CRASHES_TO_STORE:
            self._unwritten[fingerprint] = None
            self._has_unwritten.set()

    def _update_refused(self):
        """Log the requests that are refused from now on."""
        now = self._now()
        refused = {f for f in self._suspects() if self.tracker.is_refused(f, now)}
        for fingerprint in refused - self.refused:
            self.log.write(
                Event.FATAL_REQUEST_FOUND,
                fingerprint=fingerprint,
                crashes=self.tracker.crash_count(fingerprint, now),
            )
        self.refused = refused

    # Reports between instances.

    def messages(self, whole: bool) -> list[CrashReport | ClearedFingerprint]:
        """Return what the next report to peers contains.

        A whole report repeats what is recent, and all that is known of requests
        that were present at several crashes.
        """
        now = self._now()
        messages, self._unreported = self._unreported[:], []
        self._recent += [(now, message) for message in messages]
        if whole:
            oldest = now - REPEAT_FOR_S
            self._recent = [item for item in self._recent if item[0] >= oldest]
            messages = [message for _, message in self._recent]
            messages += self._known_repeats(now)
        return messages[-MAX_REPORTED:]

    def apply(self, message: CrashReport | ClearedFingerprint) -> None:
        """Apply a peer's message."""
        if isinstance(message, CrashReport):
            self.tracker.record_crash(message.crash, message.fingerprints, self._now())
        else:
            self.tracker.clear(message)

    def _known_repeats(self, now):
        counts = {f: self.tracker.crash_count(f, now) for f in self._suspects()}
        repeated = [f for f, count in counts.items() if count >= CRASHES_TO_STORE]
        repeated.sort(key=counts.get)
        return [
            CrashReport(crash, (fingerprint,))
            for fingerprint in repeated[-MAX_REPORTED // CRASHES_TO_REFUSE :]
            for crash in self.tracker.suspicions[fingerprint].crashes
        ]

    def _suspects(self):
        return tuple(self.tracker.suspicions)

    # The record in the shared store.

    def apply_change(self, change: Change) -> None:
        """Apply a change of the record; raise `ValueError` if it is malformed."""
        fingerprint, _, writer = change.key.removeprefix(self.prefix).partition("/")
        if change.item is None:
            # A record that has lapsed or was lost clears nothing.
            if writer == self.instance:
                self._store_if_repeated(fingerprint)
            return
        for key in decode_crashes(change.item.value):
            self.tracker.record_crash(server_crash(key), (fingerprint,), self._now())

    async def run(self) -> None:
        """Write the requests present at several crashes until cancelled."""
        while True:
            await self._has_unwritten.wait()
            started_at = self.sync.clock()
            try:
                await self._write()
                self.sync.record_success(STORE_CLIENT)
            except StoreError as error:
                self.sync.record_failure(STORE_CLIENT, error, started_at)
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _write(self):
        batch = list(self._unwritten)[:MAX_WRITES]
        for fingerprint in batch:
            del self._unwritten[fingerprint]
        try:
            await self._write_suspects([f for f in batch if self._is_known(f)])
        except StoreError:
            self._unwritten.update(dict.fromkeys(batch))
            raise
        if not self._unwritten:
            self._has_unwritten.clear()

    async def _write_suspects(self, fingerprints):
        if not fingerprints:
            return
        lease = await self.store.grant_lease(STORED_FOR_S)
        writes = tuple(
            Write(f"{self.prefix}{f}/{self.instance}", self._encode(f), lease)
            for f in fingerprints
            if self._is_known(f)
        )
        await self.store.transact((), writes)

    def _is_known(self, fingerprint):
        return fingerprint in self.tracker.suspicions

    def _encode(self, fingerprint):
        crashes = self.tracker.suspicions[fingerprint].crashes
        return json.dumps(sorted(int(c.incarnation) for c in crashes)).encode()


def decode_crashes(value: bytes) -> list[int]:
    """Return the keys of the crashed servers; raise `ValueError`."""
    keys = json.loads(value)
    if not isinstance(keys, list) or not all(isinstance(key, int) for key in keys):
        raise ValueError("the record of a suspect is not a list of numbers")
    return keys
