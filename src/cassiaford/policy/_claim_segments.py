"""Sealed segments: the older, ended claims of a shard.

A shard's value holds the claims that run and the latest that ended. When the
ended ones grow too many they are written, once and for good, to a segment of
their own, and the shard only names it. An instance keeps eight bytes of each
sealed claim's key, and reads a segment again in the rare case of a match.
"""

import array
import bisect
import collections
from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaford.policy._claims import CLOCK_SKEW_S, RETENTION_S, ClaimRecord

KEY_DIGITS = 16
CACHED_SEGMENTS = 4


@dataclass(frozen=True)
class SealedSegment:
    """The name of a segment and when its newest record was written."""

    name: str
    newest: float

    def expired(self, wall: float) -> bool:
        """Return whether every record in the segment has expired."""
        return wall > self.newest + RETENTION_S + CLOCK_SKEW_S


@dataclass(frozen=True)
class ShardState:
    """What the value of a shard holds."""

    records: Mapping[str, ClaimRecord] = field(default_factory=dict)
    sealed: tuple[SealedSegment, ...] = ()


class SegmentIndex:
    """The sealed segments of a shard, as far as an instance has read them."""

    def __init__(self):
        self.sealed = ()
        self._keys = {}
        self._cached = collections.OrderedDict()

    def replace(self, sealed: tuple[SealedSegment, ...]) -> None:
        """Take in which segments the shard names."""
        self.sealed = sealed
        names = {segment.name for segment in sealed}
        self._keys = {n: keys for n, keys in self._keys.items() if n in names}

    def load(self, name: str, records: Mapping[str, ClaimRecord]) -> None:
        """Take in the records of a segment."""
        self._keys[name] = array.array("Q", sorted(map(_number, records)))
        self._cached[name] = dict(records)
        self._cached.move_to_end(name)
        while len(self._cached) > CACHED_SEGMENTS:
            self._cached.popitem(last=False)

    def to_read(self, key: str) -> str | None:
        """Return a segment to be read before a key can be looked up."""
        for segment in self.sealed:
            name = segment.name
            if name not in self._keys:
                return name
            if name not in self._cached and self._may_hold(name, key):
                return name
        return None

    def find(self, key: str) -> ClaimRecord | None:
        """Return the sealed record of a key, if its segment is at hand."""
        for segment in reversed(self.sealed):
            record = self._cached.get(segment.name, {}).get(key)
            if record is not None:
                return record
        return None

    def _may_hold(self, name, key):
        keys = self._keys[name]
        number = _number(key)
        position = bisect.bisect_left(keys, number)
        return position < len(keys) and keys[position] == number


def _number(key):
    return int(key[:KEY_DIGITS], 16)
