"""Sealed segments: the older, ended claims of a shard.

A shard's value contains the running claims and those that ended most recently.
Once the ended ones exceed a size they are moved to an immutable segment, which the
shard refers to by name. An instance keeps eight bytes of each sealed claim's
key in memory and reads a segment again only if those match.
"""

import array
import bisect
import collections
from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaford.policy._claims import CLOCK_SKEW_S, RETENTION_S, ClaimRecord

KEY_PREFIX_DIGITS = 16
MAX_CACHED_SEGMENTS = 4


@dataclass(frozen=True)
class SealedSegment:
    """A reference to a segment: its name and when its newest record was written."""

    name: str
    newest: float

    def expired(self, wall: float) -> bool:
        """Return whether every record in the segment has expired."""
        return wall > self.newest + RETENTION_S + CLOCK_SKEW_S


@dataclass(frozen=True)
class ShardState:
    """The decoded value of a shard."""

    records: Mapping[str, ClaimRecord] = field(default_factory=dict)
    sealed: tuple[SealedSegment, ...] = ()


class SegmentIndex:
    """An index of the keys in a shard's segments, with a cache of their records."""

    def __init__(self):
        self.sealed = ()
        self._keys = {}
        self._cached = collections.OrderedDict()

    def replace(self, sealed: tuple[SealedSegment, ...]) -> None:
        """Set the segments that the shard refers to."""
        self.sealed = sealed
        names = {segment.name for segment in sealed}
        self._keys = {n: keys for n, keys in self._keys.items() if n in names}

    def load(self, name: str, records: Mapping[str, ClaimRecord]) -> None:
        """Index the records of a segment and cache them."""
        self._keys[name] = array.array("Q", sorted(map(_key_prefix, records)))
        self._cached[name] = dict(records)
        self._cached.move_to_end(name)
        while len(self._cached) > MAX_CACHED_SEGMENTS:
            self._cached.popitem(last=False)

    def segment_to_read(self, key: str) -> str | None:
        """Return a segment that must be read before a key is looked up, if any."""
        for segment in self.sealed:
            name = segment.name
            if name not in self._keys:
                return name
            if name not in self._cached and self._may_contain(name, key):
                return name
        return None

    def find(self, key: str) -> ClaimRecord | None:
        """Return the sealed record of a key, if its segment is cached."""
        for segment in reversed(self.sealed):
            record = self._cached.get(segment.name, {}).get(key)
            if record is not None:
                return record
        return None

    def _may_contain(self, name, key):
        keys = self._keys[name]
        prefix = _key_prefix(key)
        position = bisect.bisect_left(keys, prefix)
        return position < len(keys) and keys[position] == prefix


def _key_prefix(key):
    return int(key[:KEY_PREFIX_DIGITS], 16)
