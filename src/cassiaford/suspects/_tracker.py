"""Detection of requests that crash the backend servers that run them.

When a server crashes, every request that was running on it is suspect, since
any of them may be the cause. A request that was present at two crashes, counted
over the whole fleet, is refused from then on. One that completes is cleared.

A request that runs beside a fatal one is present at its first crash as well. If
suspects never run beside each other (see `is_suspect`), the fatal request is
the only suspect at its second crash; the requests beside it then have one crash.
"""

import collections
from dataclasses import dataclass, field, replace

from cassiaford.suspects._crash import Crash
from cassiaford.suspects._parts import PartTracker

# The crashes at which a request must have been present to be refused, unless a
# tracker is created with another number.
CRASHES_TO_REFUSE = 2
# Without a further crash, a suspicion or a refusal ends after this time.
SUSPICION_TTL_S = 3600.0
MAX_SUSPECTS = 10_000
MAX_INVALIDATED = 20_000


@dataclass(frozen=True)
class CrashReport:
    """A crash and the fingerprints of the requests that were running there.

    `parts` are those of the prompts whose answers had not begun; the sender has
    seen an answer on those that are `answered` before. `age_s` is the time since
    the crash. Each instance reports its own requests; the reports of a crash are
    merged.
    """

    crash: Crash
    fingerprints: tuple[str, ...]
    parts: tuple[int, ...] = ()
    answered: tuple[int, ...] = ()
    age_s: float = 0.0


@dataclass(frozen=True)
class ClearedFingerprint:
    """The fingerprint of a completed request, and the crashes it is cleared of."""

    fingerprint: str
    crashes: tuple[Crash, ...]


@dataclass(frozen=True)
class AnsweredParts:
    """Parts that were candidates for crashes and have been answered since.

    Unlike other messages it must not be repeated, since crashes may follow it.
    """

    parts: tuple[int, ...]


@dataclass(frozen=True)
class RefusedParts:
    """Parts whose common presence in a request is refused."""

    parts: tuple[int, ...]


@dataclass(frozen=True)
class SuspicionRequest:
    """A request to a peer for all its suspicions."""


Suspicions = CrashReport | ClearedFingerprint | AnsweredParts | RefusedParts
SuspectMessage = Suspicions | SuspicionRequest


def aged(message: Suspicions, age_s: float) -> Suspicions:
    """Return a message as it is repeated a time after it was made."""
    if not isinstance(message, CrashReport):
        return message
    return replace(message, age_s=age_s)


@dataclass
class Suspicion:
    """The crashes at which a fingerprint was present, and their times."""

    crashes: dict[Crash, float] = field(default_factory=dict)

    @property
    def last_at(self) -> float:
        """The time of the latest crash."""
        return max(self.crashes.values())


class SuspectTracker:
    """One instance's record of the requests that may crash servers.

    A request that was present at `crashes_to_refuse` crashes is refused, unless
    another one was present at all of them too; then either may be the cause, and
    both are refused only at `crashes_if_ambiguous` crashes, by default as many.
    `parts` has what is known of the parts of prompts. Times are in seconds on the
    instance's monotonic clock.

    Examples
    --------
    >>> tracker = SuspectTracker()
    >>> for server in ("engine-1", "engine-2"):
    ...     tracker.record_crash(Crash(server, "1"), ("f",), 0.0)
    >>> tracker.is_refused("f", 0.0)
    True
    """

    def __init__(
        self,
        crashes_to_refuse: int = CRASHES_TO_REFUSE,
        crashes_if_ambiguous: int | None = None,
    ):
        self.crashes_to_refuse = crashes_to_refuse
        self.crashes_if_ambiguous = crashes_if_ambiguous or crashes_to_refuse
        self.parts = PartTracker()
        self.suspicions = collections.OrderedDict()
        self._invalidated = collections.OrderedDict()

    def apply(self, message: Suspicions, now: float) -> None:
        """Apply a peer's message."""
        match message:
            case CrashReport():
                self.record_crash(
                    message.crash, message.fingerprints, now, message.age_s
                )
                crashed_at = now - message.age_s
                self.parts.mark_answered(message.answered)
                self.parts.record_crash(message.crash, message.parts, crashed_at)
            case ClearedFingerprint():
                self.clear(message)
            case AnsweredParts():
                self.parts.record_answer(message.parts)
            case RefusedParts():
                self.parts.refuse_reported(frozenset(message.parts))

    def record_crash(
        self,
        crash: Crash,
        fingerprints: tuple[str, ...],
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Record the requests that were running on a server when it crashed.

        `age_s` is the time since then.
        """
        for fingerprint in fingerprints:
            # This removes the suspicion if it has expired.
            self.crash_count(fingerprint, now)
            if (fingerprint, crash) not in self._invalidated:
                self._add_crash(fingerprint, crash, now, age_s)

    def record_completion(
        self, fingerprint: str, now: float
    ) -> ClearedFingerprint | None:
        """Record a completion; return the clearance to send to peers, if any.

        A refused fingerprint stays refused: a run that completes late does not
        prove that the next one is harmless.
        """
        if not self.is_suspect(fingerprint, now) or self.is_refused(fingerprint, now):
            return None
        crashes = self.suspicions[fingerprint].crashes
        cleared = ClearedFingerprint(fingerprint, tuple(crashes))
        self.clear(cleared)
        return cleared

    def clear(self, cleared: ClearedFingerprint) -> None:
        """Invalidate crashes of a fingerprint, also if they are reported later."""
        self._invalidate(cleared.fingerprint, cleared.crashes)
        suspicion = self.suspicions.get(cleared.fingerprint)
        if suspicion is not None:
            for crash in cleared.crashes:
                suspicion.crashes.pop(crash, None)
            if not suspicion.crashes:
                del self.suspicions[cleared.fingerprint]

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was present at a crash."""
        return self.crash_count(fingerprint, now) > 0

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was present at too many crashes."""
        count = self.crash_count(fingerprint, now)
        if count < self.crashes_to_refuse:
            return False
        return count >= self.crashes_if_ambiguous or not self._is_ambiguous(fingerprint)

    def crash_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return every suspicion, for a peer that has just started.

        The latest crashes come first, since without them earlier ones may have
        expired.
        """
        by_crash = collections.defaultdict(list)
        crashed_at = {}
        for fingerprint, suspicion in self.suspicions.items():
            for crash, at in suspicion.crashes.items():
                by_crash[crash].append(fingerprint)
                crashed_at[crash] = at
        return tuple(
            CrashReport(crash, tuple(by_crash[crash]), age_s=now - crashed_at[crash])
            for crash in sorted(crashed_at, key=crashed_at.get, reverse=True)
        )

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes at which a request was present."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        if now >= suspicion.last_at + SUSPICION_TTL_S:
            del self.suspicions[fingerprint]
            # A late report of a peer must not bring it back.
            self._invalidate(fingerprint, suspicion.crashes)
            return 0
        return len(suspicion.crashes)

    def _is_ambiguous(self, fingerprint):
        """Return whether another request was present at all of its crashes."""
        crashes = self.suspicions[fingerprint].crashes.keys()
        return any(
            crashes <= suspicion.crashes.keys()
            for other, suspicion in self.suspicions.items()
            if other != fingerprint
        )

    def _invalidate(self, fingerprint, crashes):
        for crash in crashes:
            self._invalidated[fingerprint, crash] = True
        while len(self._invalidated) > MAX_INVALIDATED:
            self._invalidated.popitem(last=False)

    def _add_crash(self, fingerprint, crash, now, age_s):
        if fingerprint not in self.suspicions and age_s >= SUSPICION_TTL_S:
            return
        suspicion = self.suspicions.setdefault(fingerprint, Suspicion())
        # Reports age on their way, so the earliest time is the most exact.
        crashed_at = suspicion.crashes.get(crash, now - age_s)
        suspicion.crashes[crash] = min(crashed_at, now - age_s)
        self.suspicions.move_to_end(fingerprint)
        while len(self.suspicions) > MAX_SUSPECTS:
            self.suspicions.popitem(last=False)
