"""Finding the view of a backend server by its name, without a scan a call."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from cassiaford.policy._placement import ServerView

# More backend servers than this are ranked in groups.
UNGROUPED_SERVERS = 128
GROUPS = 32
# An index made this lately may stand for the set as it is now.
FRESH_S = 5.0
# Sets of backend servers, one for each model, whose order is remembered.
MAX_KNOWN_SETS = 64


@dataclass(frozen=True)
class ServerGroup:
    """Names of backend servers, as bytes for hashing, and the group's own key."""

    key: bytes
    names: list[bytes]


class ServerIndex:
    """The order in which a set of backend servers was last given.

    What is found is checked against the sequence at hand, so an order that
    has changed does no harm. A name always falls into the same group of as
    many, so that a server that joins or leaves does not move the others.
    """

    def __init__(self, servers: Sequence[ServerView], made_at: float):
        self.made_at = made_at
        self.positions = {view.name: number for number, view in enumerate(servers)}
        self.groups = _grouped([name.encode() for name in self.positions])

    def find(self, name: str, servers: Sequence[ServerView]) -> ServerView | None:
        """Return the view of a name, None if it is absent or has moved."""
        position = self.positions.get(name)
        if position is None or position >= len(servers):
            return None
        view = servers[position]
        return view if view.name == name else None


class ServerIndexes:
    """The indexes of the sets of backend servers met lately."""

    def __init__(self):
        self._known = {}

    def index_of(self, servers: Sequence[ServerView], now: float) -> ServerIndex:
        """Return the index of a set, which may be that of an earlier state."""
        index = self._known.get(_signature(servers))
        return self._renew(servers, now) if index is None else index

    def fresh_index_of(self, servers: Sequence[ServerView], now: float) -> ServerIndex:
        """Return the index of a set as it is, or was a moment ago."""
        index = self.index_of(servers, now)
        if now - index.made_at < FRESH_S:
            return index
        return self._renew(servers, now)

    def find_all(
        self, names: Iterable[str], servers: Sequence[ServerView], now: float
    ) -> dict[str, ServerView]:
        """Return the views of those names that are in a set."""
        index = self.index_of(servers, now)
        found = {name: index.find(name, servers) for name in names}
        if None not in found.values():
            return found
        index = self._renew(servers, now)
        found = {name: index.find(name, servers) for name in found}
        return {name: view for name, view in found.items() if view is not None}

    def _renew(self, servers: Sequence[ServerView], now: float) -> ServerIndex:
        if len(self._known) >= MAX_KNOWN_SETS:
            self._known.clear()
        index = ServerIndex(servers, now)
        self._known[_signature(servers)] = index
        return index


def _signature(servers: Sequence[ServerView]) -> tuple[int, str, str]:
    return len(servers), servers[0].name, servers[-1].name


def _grouped(names: Sequence[bytes]) -> list[ServerGroup]:
    count = GROUPS if len(names) > UNGROUPED_SERVERS else 1
    groups = [ServerGroup(b"group-%d" % number, []) for number in range(count)]
    for name in names:
        groups[xxhash.xxh3_64_intdigest(name) % count].names.append(name)
    return groups
