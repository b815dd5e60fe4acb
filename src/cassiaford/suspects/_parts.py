"""Detection of parts of prompts that crash the servers that answer on them.

Requests that share a fatal part are no two alike, so what counts is which parts
were present at crashes. When a server crashes, each part of a prompt whose answer
had not begun there is a candidate. A completed answer proves its parts sound and
clears them. A part that stays present at one crash after another is refused.
"""

import collections
import itertools
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from cassiaford.suspects._crash import Crash


@dataclass(frozen=True)
class Threshold:
    """The crashes after which a part is refused.

    Crashes closer to each other than `spacing_s` count once: servers that fail
    together have another cause.
    """

    crashes: int
    spacing_s: float

    def is_reached(self, times: Iterable[float]) -> bool:
        """Return whether enough of the times of crashes count.

        Examples
        --------
        >>> Threshold(2, 1.0).is_reached([5.0, 5.1, 5.9])
        False
        >>> Threshold(2, 1.0).is_reached([5.0, 5.1, 6.0])
        True
        """
        count = 0
        last = float("-inf")
        for time in sorted(times):
            if time >= last + self.spacing_s:
                count += 1
                last = time
        return count >= self.crashes


# A resend to another server takes longer than this.
NEW_PART = Threshold(crashes=3, spacing_s=0.05)
# A part that has been answered before is more likely to be beside the fatal one.
ANSWERED_PART = Threshold(crashes=4, spacing_s=1.0)
EVIDENCE_TTL_S = 600.0
MAX_CRASHES = 500
MAX_ANSWERED = 8192
MAX_GROUPS = 256

Group = frozenset[int]


def part_fingerprint(model: str, part: str) -> int:
    """Return the number that represents a part of a prompt on all instances."""
    text = f"{model}\0{part}"
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


class PartTracker:
    """One instance's record of the parts of prompts that may crash servers.

    If several parts were present at the same crashes, either of them may be the
    cause. They are a group, and only requests that have all of them are refused;
    a crash of a request with some of them tells them apart. Parts that were never
    answered are refused first, and explain the crashes at which they were present.
    `groups` has the groups that are refused, also those found by peers. Until
    `learning_until`, an instance does not know which parts are answered and finds
    none. Times are in seconds on the instance's monotonic clock.

    Examples
    --------
    >>> tracker = PartTracker()
    >>> for number, parts in enumerate([(1, 9), (2, 9), (1, 9)]):
    ...     tracker.record_crash(Crash(f"engine-{number}", "1"), parts, float(number))
    >>> tracker.is_refused({9, 3})
    True
    >>> tracker.is_refused({1, 3})
    False
    """

    def __init__(self):
        self.crashes: dict[int, dict[Crash, float]] = {}
        self.groups: dict[Group, None] = {}
        self.learning_until = float("-inf")
        self._latest_at = float("-inf")
        self._recorded = collections.OrderedDict()
        self._answered = collections.OrderedDict()

    def record_crash(
        self, crash: Crash, parts: Iterable[int], crashed_at: float
    ) -> None:
        """Record the parts that were candidates when a server crashed."""
        recorded = self._recorded.setdefault(crash, set())
        while len(self._recorded) > MAX_CRASHES:
            self._recorded.popitem(last=False)
        # A report that is repeated must not undo a clearance.
        new = set(parts) - recorded
        if not new:
            return
        recorded |= new
        for part in new:
            self.crashes.setdefault(part, {})[crash] = crashed_at
        self._latest_at = max(self._latest_at, crashed_at)
        self._expire(crashed_at)
        self._find_groups()

    def record_answer(self, parts: Iterable[int]) -> tuple[int, ...]:
        """Record a complete answer; return the parts that it cleared."""
        parts = tuple(parts)
        self.mark_answered(parts)
        cleared = tuple(p for p in parts if self.crashes.pop(p, None) is not None)
        if cleared:
            self._find_groups()
        return cleared

    def mark_answered(self, parts: Iterable[int]) -> None:
        """Record that there were answers on parts at some time."""
        for part in parts:
            self._answered[part] = None
            self._answered.move_to_end(part)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def answered(self, parts: Iterable[int]) -> tuple[int, ...]:
        """Return which of some parts were answered before."""
        return tuple(part for part in parts if part in self._answered)

    def refuse_reported(self, group: Group) -> None:
        """Refuse a group that a peer found, unless its parts were answered here.

        A peer that has just started does not know which parts are sound.
        """
        if len(self.answered(group)) < len(group):
            self.refuse(group)

    def refuse(self, group: Group) -> bool:
        """Refuse a group from now on; return whether it was not refused before."""
        if not group or group in self.groups:
            return False
        self.groups[group] = None
        while len(self.groups) > MAX_GROUPS:
            del self.groups[next(iter(self.groups))]
        return True

    def is_refused(self, parts: Iterable[int]) -> bool:
        """Return whether a request with these parts is refused."""
        if not self.groups:
            return False
        present = frozenset(parts)
        return any(group <= present for group in self.groups)

    def is_suspect(self, parts: Iterable[int]) -> bool:
        """Return whether a part was present at a crash and never answered."""
        return any(p in self.crashes and p not in self._answered for p in parts)

    def _expire(self, now):
        for part, times in tuple(self.crashes.items()):
            for crash in [c for c, at in times.items() if now - at > EVIDENCE_TTL_S]:
                del times[crash]
            if not times:
                del self.crashes[part]

    def _find_groups(self):
        """Refuse the parts that explain crashes which no other group explains."""
        if self._latest_at < self.learning_until:
            return
        new = {part for part in self.crashes if part not in self._answered}
        answered = self.crashes.keys() - new
        for parts, threshold in ((new, NEW_PART), (answered, ANSWERED_PART)):
            while group := self._best_group(parts, threshold):
                self.refuse(group)
                parts = parts - group

    def _best_group(self, parts, threshold):
        """Return the parts with the most unexplained crashes, if they are enough."""
        common = {group: self._common_crashes(group) for group in self.groups}
        unexplained = {}
        for part in parts:
            others = (crashes for group, crashes in common.items() if part not in group)
            crashes = self.crashes[part].keys() - set().union(*others)
            if threshold.is_reached(self.crashes[part][crash] for crash in crashes):
                unexplained[part] = crashes
        if not unexplained:
            return frozenset()
        best = max(unexplained, key=lambda part: (len(unexplained[part]), part))
        return frozenset(p for p, c in unexplained.items() if c == unexplained[best])

    def _common_crashes(self, group):
        """Return the crashes at which all parts of a group were present."""
        return set.intersection(*(set(self.crashes.get(part, ())) for part in group))


def distinct_parts(requests: Iterable[tuple[int, ...]]) -> tuple[int, ...]:
    """Return the parts of several requests, each once.

    Examples
    --------
    >>> distinct_parts([(1, 2), (1, 3)])
    (1, 2, 3)
    """
    return tuple(dict.fromkeys(itertools.chain.from_iterable(requests)))
