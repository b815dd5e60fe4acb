"""Requests that crash servers: evidence, reports to peers, the stored record.

Peers report crashes to each other within milliseconds. A request that was
present at several crashes is also written to the shared store, which reaches
instances that are cut off from their peers, and outlives a restart of all.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._job import Job
from cassiaford.gateway._messages import BackendServer
from cassiaford.gateway._mirror import MirrorSync
from cassiaford.gateway._peer_codec import server_crash
from cassiaford.gateway._store import Change, SharedStore, StoreError, Write
from cassiaford.gateway._view import server_key
from cassiaford.gateway.policy import BrokenRequest, CrashEvidence
from cassiaford.logs import Event
from cassiaford.suspects import (
    AnsweredParts,
    CrashReport,
    RefusedParts,
    SuspectTracker,
    Suspicions,
    aged,
    distinct_parts,
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
# Keep a report within one datagram. Of the parts of prompts, those that were never
# answered go first.
MAX_REPORTED = 64
MAX_REPORTED_PARTS = 32
MAX_REPORTED_GROUPS = 8
MAX_WRITES = 16
RETRY_INTERVAL_S = 1.0
# What no instance has stored for this time is stored by others, each after a delay
# of its own, so that most of them find the record of the first.
UNSTORED_FOR_S = 0.5
MAX_STORE_DELAY_S = 1.5
# An answer that has gone on for this long is not what crashed its server.
MIN_ANSWER_S = 0.5
# Keeps the names of groups within the length of a key; larger ones are those that
# the next crash divides.
MAX_STORED_PARTS = 6
# The names of groups of parts in the store begin so, those of requests do not.
PARTS_NAME = "parts-"
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
        rng: random.Random,
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
        self.refused_groups: set[frozenset[int]] = set()
        self._recent: list[tuple[float, Suspicions]] = []
        self._unreported: list[Suspicions] = []
        self._unwritten: dict[str, None] = {}
        self._has_unwritten = asyncio.Event()
        self._writers: dict[str, set[str]] = {}
        self._missing_since: dict[str, float] = {}
        self._store_delay_s = UNSTORED_FOR_S + rng.random() * MAX_STORE_DELAY_S
        self._now = asyncio.get_running_loop().time

    @property
    def refused_count(self) -> int:
        """The number of requests and of groups of parts that are refused."""
        return len(self.refused) + len(self.refused_groups)

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
        """Return whether a request, or parts of it, crashed too many servers."""
        tracker = self.tracker
        if tracker.parts.groups and tracker.parts.is_refused(job.part_fingerprints):
            return True
        return bool(tracker.suspicions) and tracker.is_refused(
            job.fingerprint, self._now()
        )

    def is_suspect(self, job: Job) -> bool:
        """Return whether a request, or a part of it, was running at a crash."""
        tracker = self.tracker
        if tracker.parts.crashes and tracker.parts.is_suspect(job.part_fingerprints):
            return True
        return bool(tracker.suspicions) and tracker.is_suspect(
            job.fingerprint, self._now()
        )

    # Observations of this instance.

    def record_break(self, job: Job, server: BackendServer) -> None:
        """Record that a server stopped responding while it ran a request."""
        now = self._now()
        parts = () if _is_answering(job, now) else job.part_fingerprints
        request = BrokenRequest(job.fingerprint, parts)
        if self.evidence.record_break(server_key(server), request, now):
            self._record_crash(server, (request,))

    def record_server_end(self, server: BackendServer) -> None:
        """Record that a server's incarnation has ended without draining."""
        requests = self.evidence.record_end(server_key(server), self._now())
        if requests:
            self._record_crash(server, requests)

    def record_completion(self, job: Job) -> None:
        """Clear the suspicion of a request that ran to completion, and of its parts."""
        if self.evidence.breaks:
            self.evidence.remove_request(job.fingerprint)
        if job.status < 300:
            answered = self.tracker.parts.record_answer(job.part_fingerprints)
            if answered:
                self._unreported.append(AnsweredParts(answered))
                # Of parts that were always together, one may be left as the cause.
                self._report_new_groups()
        if not self.tracker.suspicions:
            return
        cleared = self.tracker.record_completion(job.fingerprint, self._now())
        if cleared is not None:
            self._unreported.append(cleared)

    def update(self) -> None:
        """Remove evidence that is too old, and log which requests are now refused.

        What has been in nobody's record for a while is stored.
        """
        self.evidence.expire(self._now())
        self._update_refused()
        self._store_missing()

    def _record_crash(self, server, requests):
        now = self._now()
        crash = server_crash(server_key(server))
        fingerprints = tuple(request.fingerprint for request in requests)
        parts = distinct_parts(request.parts for request in requests)
        answered = set(self.tracker.parts.answered(parts))
        parts = tuple(sorted(parts, key=answered.__contains__))[:MAX_REPORTED_PARTS]
        report = CrashReport(
            crash, fingerprints, parts, tuple(p for p in parts if p in answered)
        )
        self.tracker.apply(report, now)
        self.log.write(
            Event.SERVER_CRASH_REPORTED,
            server=server.server_id,
            requests=len(fingerprints),
            fingerprints=",".join(fingerprints[:MAX_WRITES]),
            parts=_format(parts[:MAX_WRITES]),
        )
        for fingerprint in fingerprints:
            self._store_if_repeated(fingerprint)
        self._unreported.append(report)
        self._report_new_groups()
        self.on_crash()

    def _report_new_groups(self):
        """Have the groups that this instance found reported and stored."""
        for group in self.tracker.parts.groups.keys() - self.refused_groups:
            self._log_group(group)
            self._unreported.append(RefusedParts(tuple(sorted(group))))
            if len(group) <= MAX_STORED_PARTS:
                self._store(PARTS_NAME + _format(sorted(group)))

    def _log_group(self, group):
        self.refused_groups.add(group)
        self.log.write(Event.FATAL_PARTS_FOUND, parts=_format(sorted(group)))

    def _store_if_repeated(self, fingerprint):
        """Have a request written to the store if it was present at several crashes."""
        if self.tracker.crash_count(fingerprint, self._now()) >= CRASHES_TO_STORE:
            self._store(fingerprint)

    def _store_missing(self):
        """Have what no instance has stored written, when its time has come.

        It may have been found only from reports of peers, or its writer has ended.
        """
        now = self._now()
        missing = self._names_to_store(now) - self._writers.keys()
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in missing - self._unwritten.keys()
        }
        if self.sync.failing or not self._missing_since:
            return
        if now - min(self._missing_since.values()) >= self._store_delay_s:
            # All at once, so that other instances find all of it stored.
            for name in self._missing_since:
                self._store(name)
            self._missing_since.clear()

    def _names_to_store(self, now):
        counts = ((f, self.tracker.crash_count(f, now)) for f in self._suspects())
        names = {fingerprint for fingerprint, n in counts if n >= CRASHES_TO_STORE}
        groups = (g for g in self.refused_groups if len(g) <= MAX_STORED_PARTS)
        return names | {PARTS_NAME + _format(sorted(group)) for group in groups}

    def _store(self, name):
        self._unwritten[name] = None
        self._has_unwritten.set()

    def _update_refused(self):
        """Log the requests and parts that are refused from now on."""
        now = self._now()
        refused = {f for f in self._suspects() if self.tracker.is_refused(f, now)}
        for fingerprint in refused - self.refused:
            self.log.write(
                Event.FATAL_REQUEST_FOUND,
                fingerprint=fingerprint,
                crashes=self.tracker.crash_count(fingerprint, now),
            )
        self.refused = refused
        for group in self.tracker.parts.groups.keys() - self.refused_groups:
            self._log_group(group)

    # Reports between instances.

    def messages(self, whole: bool) -> list[Suspicions]:
        """Return what the next report to peers contains.

        A whole report repeats what is recent, and all that is known of requests
        that were present at several crashes, and of refused parts.
        """
        now = self._now()
        messages, self._unreported = self._unreported[:], []
        answered = [m for m in messages if isinstance(m, AnsweredParts)]
        self._recent += [(now, m) for m in messages if not isinstance(m, AnsweredParts)]
        if whole:
            oldest = now - REPEAT_FOR_S
            self._recent = [item for item in self._recent if item[0] >= oldest]
            messages = answered + [aged(m, now - at) for at, m in self._recent]
            messages += self._known_repeats(now)
            groups = [*self.tracker.parts.groups][-MAX_REPORTED_GROUPS:]
            messages += [RefusedParts(tuple(sorted(group))) for group in groups]
        return messages[-MAX_REPORTED:]

    def apply(self, message: Suspicions) -> None:
        """Apply a peer's message."""
        self.tracker.apply(message, self._now())

    def _known_repeats(self, now):
        counts = {f: self.tracker.crash_count(f, now) for f in self._suspects()}
        repeated = [f for f, count in counts.items() if count >= CRASHES_TO_STORE]
        repeated.sort(key=counts.get)
        reports = [
            CrashReport(crash, (fingerprint,), age_s=now - crashed_at)
            for fingerprint in repeated[-MAX_REPORTED // CRASHES_TO_REFUSE :]
            for crash, crashed_at in self.tracker.suspicions[
                fingerprint
            ].crashes.items()
        ]
        # Without the latest crashes, earlier ones may have expired at the receiver.
        return sorted(reports, key=lambda report: report.age_s)

    def _suspects(self):
        return tuple(self.tracker.suspicions)

    # The record in the shared store.

    def apply_change(self, change: Change) -> None:
        """Apply a change of the record; raise `ValueError` if it is malformed."""
        name, _, writer = change.key.removeprefix(self.prefix).partition("/")
        group = _group(name)
        item = change.item
        ages_s = {} if item is None else decode_crashes(item.value)
        self._record_writer(name, writer, item is not None)
        if item is not None:
            if group:
                self.tracker.parts.refuse_reported(group)
                return
            now = self._now()
            for key, age_s in sorted(ages_s.items(), key=lambda item: item[1]):
                self.tracker.record_crash(server_crash(key), (name,), now, age_s)
        elif writer == self.instance:
            # A record that has lapsed or was lost clears nothing.
            if group:
                self._store(name)
            else:
                self._store_if_repeated(name)

    def _record_writer(self, name, writer, present):
        writers = self._writers.setdefault(name, set())
        if present:
            writers.add(writer)
        else:
            writers.discard(writer)
        if not writers:
            del self._writers[name]

    async def run(self) -> None:
        """Write what is refused or present at several crashes until cancelled."""
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
            await self._write_suspects([name for name in batch if self._is_known(name)])
        except StoreError:
            self._unwritten.update(dict.fromkeys(batch))
            raise
        if not self._unwritten:
            self._has_unwritten.clear()

    async def _write_suspects(self, names):
        if not names:
            return
        lease = await self.store.grant_lease(STORED_FOR_S)
        writes = tuple(
            Write(f"{self.prefix}{name}/{self.instance}", self._encode(name), lease)
            for name in names
            if self._is_known(name)
        )
        await self.store.transact((), writes)

    def _is_known(self, name):
        return name in self.tracker.suspicions or _group(name) in self.refused_groups

    def _encode(self, name):
        suspicion = self.tracker.suspicions.get(name)
        crashes = suspicion.crashes if suspicion is not None else {}
        now = self._now()
        ages_s = [(int(c.incarnation), round(now - at, 3)) for c, at in crashes.items()]
        return json.dumps(sorted(ages_s)).encode()


def decode_crashes(value: bytes) -> dict[int, float]:
    """Return the keys of the crashed servers, and the seconds since their crashes.

    Raises `ValueError` if the record is malformed.
    """
    try:
        ages_s = {int(key): float(age_s) for key, age_s in json.loads(value)}
    except (TypeError, OverflowError) as error:
        raise ValueError(f"invalid record of a suspect: {error!r}") from error
    if not all(0.0 <= age_s < math.inf for age_s in ages_s.values()):
        raise ValueError("a crash in the record of a suspect has no age")
    return ages_s


def _is_answering(job, now):
    """Return whether a request's answer has gone on for a while."""
    if job.first_byte_s is None:
        return False
    return now - job.request.received_at - job.first_byte_s > MIN_ANSWER_S


def _format(parts):
    return "-".join(f"{part:016x}" for part in parts)


def _group(name):
    """Return the group of parts that a name in the store stands for, if any.

    Raises `ValueError` if its parts cannot be decoded.
    """
    if not name.startswith(PARTS_NAME):
        return frozenset()
    return frozenset(int(part, 16) for part in name[len(PARTS_NAME) :].split("-"))
