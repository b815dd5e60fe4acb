"""Requests that crash the backend servers that run them.

When a server crashes, every request that was running on it is suspect, since
any one may be the cause. A request that was present at two crashes, by the
whole fleet's count, is refused at once. One that completes is cleared.

A request beside a fatal one shares one crash with it. If suspects are not run
beside each other (`is_suspect` tells), the fatal one is alone among suspects
at its second crash, and those beside it have one crash to their name again.
"""

import collections
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

CRASHES_TO_REFUSE = 2
# Without a further crash, a suspicion or a refusal ends after this time.
SUSPICION_S = 3600.0
MAX_SUSPECTS = 10_000
MAX_VOID = 20_000


@dataclass(frozen=True)
class Crash:
    """Names one crash: a server and its incarnation that ended by it."""

    server: str
    incarnation: str


@dataclass(frozen=True)
class CrashReport:
    """A crash and the fingerprints of requests that were running there.

    Every instance reports its own requests; reports of one crash add up.
    """

    crash: Crash
    fingerprints: tuple[str, ...]


@dataclass(frozen=True)
class ClearedFingerprint:
    """A fingerprint that completed, and the crashes it is cleared of."""

    fingerprint: str
    crashes: tuple[Crash, ...]


@dataclass(frozen=True)
class SuspicionRequest:
    """Asks a peer for every suspicion that it has."""


SuspectMessage = CrashReport | ClearedFingerprint | SuspicionRequest


@dataclass
class Suspicion:
    """The crashes that a fingerprint was present at."""

    crashes: set[Crash]
    last_at: float


class SuspectTracker:
    """What one instance knows of the requests that may crash servers.

    Times are in seconds on the instance's monotonic clock.

    Examples
    --------
    >>> book = SuspectTracker()
    >>> for server in ("engine-1", "engine-2"):
    ...     book.record_crash(Crash(server, "1"), ("f",), 0.0)
    >>> book.is_refused("f", 0.0)
    True
    """

    def __init__(self):
        self.suspicions = collections.OrderedDict()
        self._void = collections.OrderedDict()

    def record_crash(
        self, crash: Crash, fingerprints: tuple[str, ...], now: float
    ) -> None:
        """Take note of the requests that were running where a server crashed."""
        for fingerprint in fingerprints:
            if (fingerprint, crash) not in self._void:
                self._suspect(fingerprint, crash, now)

    def record_completion(
        self, fingerprint: str, now: float
    ) -> ClearedFingerprint | None:
        """Take note of a completion; return what peers should be told, if any.

        A fingerprint that is refused stays so: a run that ends late is no
        proof that the next one does no harm.
        """
        if not self.is_suspect(fingerprint, now) or self.is_refused(fingerprint, now):
            return None
        crashes = self.suspicions[fingerprint].crashes
        cleared = ClearedFingerprint(fingerprint, tuple(crashes))
        self.clear(cleared)
        return cleared

    def clear(self, cleared: ClearedFingerprint) -> None:
        """Void crashes of a fingerprint, also those that are yet to be told."""
        for crash in cleared.crashes:
            self._void[cleared.fingerprint, crash] = True
        while len(self._void) > MAX_VOID:
            self._void.popitem(last=False)
        suspicion = self.suspicions.get(cleared.fingerprint)
        if suspicion is not None:
            suspicion.crashes.difference_update(cleared.crashes)
            if not suspicion.crashes:
                del self.suspicions[cleared.fingerprint]

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was present at a crash."""
        return self._count(fingerprint, now) > 0

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was present at too many crashes."""
        return self._count(fingerprint, now) >= CRASHES_TO_REFUSE

    def crash_reports(self) -> tuple[CrashReport, ...]:
        """Return every suspicion, for a peer that has just started."""
        by_crash = collections.defaultdict(list)
        for fingerprint, suspicion in self.suspicions.items():
            for crash in suspicion.crashes:
                by_crash[crash].append(fingerprint)
        return tuple(CrashReport(crash, tuple(f)) for crash, f in by_crash.items())

    def _count(self, fingerprint, now):
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        if now >= suspicion.last_at + SUSPICION_S:
            del self.suspicions[fingerprint]
            return 0
        return len(suspicion.crashes)

    def _suspect(self, fingerprint, crash, now):
        self._count(fingerprint, now)
        suspicion = self.suspicions.setdefault(fingerprint, Suspicion(set(), now))
        if crash not in suspicion.crashes:
            suspicion.crashes.add(crash)
            suspicion.last_at = now
        self.suspicions.move_to_end(fingerprint)
        while len(self.suspicions) > MAX_SUSPECTS:
            self.suspicions.popitem(last=False)


def servers_for_suspects(
    servers: Sequence[str], instances: Iterable[str], instance: str
) -> frozenset[str]:
    """Return the servers on which an instance runs its suspects.

    The servers are dealt out to the instances. So two instances that have just
    lost a server, and have not yet told each other, do not send their suspects
    to the same one. Where instances outnumber servers, several share one.

    Examples
    --------
    >>> servers = ("engine-1", "engine-2", "engine-3")
    >>> sorted(servers_for_suspects(servers, ("entry-1", "entry-2"), "entry-1"))
    ['engine-1', 'engine-3']
    """
    if not servers:
        return frozenset()
    names = sorted({*instances, instance})
    position = names.index(instance)
    if len(names) > len(servers):
        return frozenset((sorted(servers)[position % len(servers)],))
    return frozenset(sorted(servers)[position :: len(names)])
