"""Lookup of backend servers by name, without scanning them at each call."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.policy._placement import ServerView

# More backend servers than this are ranked in groups.
UNGROUPED_SERVERS = 128
GROUPS = 32
# An index of at most this age may be used for the current set.
MAX_RECENT_INDEX_AGE_S = 5.0
# The limit of cached indexes; there is one for each model.
MAX_CACHED_INDEXES = 64


@dataclass(frozen=True)
class ServerGroup:
    """Names of backend servers, as bytes for hashing, and the group's key."""

    key: bytes
    names: list[bytes]


class ServerIndex:
    """The positions of the servers in a sequence, and their groups for ranking.

    A result is checked against the current sequence, so a change of the order
    does no harm. The group of a name depends only on the number of groups, so
    a server that joins or leaves does not move the others.
    """

    def __init__(self, servers: Sequence[ServerView], built_at: float):
        self.built_at = built_at
        self.positions = {view.name: position for position, view in enumerate(servers)}
        self.groups = _group_names([name.encode() for name in self.positions])

    def find(self, name: str, servers: Sequence[ServerView]) -> ServerView | None:
        """Return the view of a server, or None if it is absent or has moved."""
        position = self.positions.get(name)
        if position is None or position >= len(servers):
            return None
        view = servers[position]
        return view if view.name == name else None


class ServerIndexes:
    """A cache of the indexes of recent sets of backend servers."""

    def __init__(self):
        self._index_by_signature = {}

    def index_of(self, servers: Sequence[ServerView], now: float) -> ServerIndex:
        """Return the index of a set, which may be outdated."""
        index = self._index_by_signature.get(_signature(servers))
        return self._rebuild(servers, now) if index is None else index

    def recent_index_of(self, servers: Sequence[ServerView], now: float) -> ServerIndex:
        """Return an index of a set that was built recently."""
        index = self.index_of(servers, now)
        if now - index.built_at < MAX_RECENT_INDEX_AGE_S:
            return index
        return self._rebuild(servers, now)

    def find_all(
        self, names: Iterable[str], servers: Sequence[ServerView], now: float
    ) -> dict[str, ServerView]:
        """Return the views of the named servers that are in a set."""
        index = self.index_of(servers, now)
        found = {name: index.find(name, servers) for name in names}
        if None not in found.values():
            return found
        index = self._rebuild(servers, now)
        found = {name: index.find(name, servers) for name in found}
        return {name: view for name, view in found.items() if view is not None}

    def _rebuild(self, servers: Sequence[ServerView], now: float) -> ServerIndex:
        if len(self._index_by_signature) >= MAX_CACHED_INDEXES:
            self._index_by_signature.clear()
        index = ServerIndex(servers, now)
        self._index_by_signature[_signature(servers)] = index
        return index


def _signature(servers: Sequence[ServerView]) -> tuple[int, str, str]:
    return len(servers), servers[0].name, servers[-1].name


def _group_names(names: Sequence[bytes]) -> list[ServerGroup]:
    count = GROUPS if len(names) > UNGROUPED_SERVERS else 1
    groups = [ServerGroup(b"group-%d" % number, []) for number in range(count)]
    for name in names:
        groups[xxhash.xxh3_64_intdigest(name) % count].names.append(name)
    return groups
