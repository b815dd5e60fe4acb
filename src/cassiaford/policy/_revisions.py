"""The configuration revision in force, and whether it is fresh.

The revision in force never decreases. Newer revisions are announced by the
key-value service and by peers, either of which may be unreachable.
"""

import collections
import random
from dataclasses import dataclass, replace

from cassiaford.config import (
    EMPTY_CONFIGURATION,
    ChangeError,
    Configuration,
    Revision,
    apply_changes,
)

# Peers that are at most this many revisions behind get entries, not a snapshot.
MAX_RECENT_REVISIONS = 64
# The service usually delivers a revision within this time of a peer's report.
FETCH_DELAY_S = 0.3
FETCH_RETRY_INTERVAL_S = 0.5
# Without the service, an instance needs reports of this many peers before it
# starts to serve at the highest revision that they report.
MIN_PEERS_TO_START = 3


@dataclass(frozen=True)
class RevisionChange:
    """A step from one configuration to a later one.

    `rejected` is the reason if the revision's changes cannot be applied; the
    revision then counts but has no effect, on every instance alike.
    """

    old: Configuration
    new: Configuration
    author: str = ""
    rejected: str = ""


def next_configuration(old: Configuration, revision: Revision) -> RevisionChange:
    """Return the step from a configuration to the next revision."""
    try:
        new = apply_changes(old, revision)
    except ChangeError as error:
        new = replace(old, revision=revision.number)
        return RevisionChange(old, new, revision.author, str(error))
    return RevisionChange(old, new, revision.author)


class RevisionPolicy:
    """Decides which revision is in force, what to fetch, and whether it is fresh.

    `stale_after_s` is the longest time without contact to the service or a peer
    for which the configuration in force is assumed to be the latest.
    """

    def __init__(self, stale_after_s: float, rng: random.Random):
        self.stale_after_s = stale_after_s
        self.rng = rng
        self.current = EMPTY_CONFIGURATION
        self.recent: collections.deque[Revision] = collections.deque(
            maxlen=MAX_RECENT_REVISIONS
        )
        self.loaded = False
        self.service_reachable = False
        self.service_loaded = False
        self.last_contact_at = float("-inf")
        self.peer_revisions: dict[str, int] = {}
        self.behind_since: float | None = None
        self.next_fetch_at = float("-inf")

    # Inputs.

    def apply_revision(self, revision: Revision) -> RevisionChange | None:
        """Put a revision in force if it is the next one."""
        if revision.number != self.current.revision + 1:
            return None
        change = next_configuration(self.current, revision)
        self.current = change.new
        self.recent.append(revision)
        self._clear_if_caught_up()
        return change

    def apply_snapshot(self, configuration: Configuration) -> RevisionChange | None:
        """Put a whole configuration in force if it is later or the first."""
        if configuration.revision <= self.current.revision:
            return None
        old, self.current = self.current, configuration
        self.recent.clear()
        self._clear_if_caught_up()
        return RevisionChange(old, configuration)

    def record_service_load(self, as_of: float) -> None:
        """Record that all that the service stored at a time is in force."""
        self.loaded = True
        self.service_loaded = True
        self.record_service_contact(as_of)

    def record_service_contact(self, as_of: float) -> None:
        """Record that the service had no newer revision at a time."""
        self.service_reachable = True
        self.last_contact_at = max(self.last_contact_at, as_of)
        self._clear_if_caught_up()

    def record_peer_load(self, as_of: float) -> None:
        """Record that all that a peer had in force at a time is in force here."""
        self.loaded = True
        self.last_contact_at = max(self.last_contact_at, as_of)
        self._clear_if_caught_up()

    def record_service_failure(self) -> None:
        """Record that the service is unreachable."""
        self.service_reachable = False

    def record_newer_revision(self, now: float) -> None:
        """Record that a newer revision exists that is not in force here."""
        if self.behind_since is None:
            self.behind_since = now

    def update_from_peer(
        self, instance: str, revision: int, as_of: float | None, now: float
    ) -> None:
        """Record the revision in force at a peer.

        `as_of` is a time at which it was certainly in force, or None. A peer that
        is behind does not confirm that the revision in force here is the latest.
        """
        self.peer_revisions[instance] = max(
            revision, self.peer_revisions.get(instance, 0)
        )
        if revision > self.current.revision:
            self.record_newer_revision(now)
            return
        confirms = self.loaded and revision == self.current.revision
        if confirms and as_of is not None:
            self.last_contact_at = max(self.last_contact_at, as_of)

    def remove_peer(self, instance: str) -> None:
        """Remove the reported revision of a peer that is gone."""
        self.peer_revisions.pop(instance, None)

    # Actions.

    def choose_fetch_peer(self, now: float) -> str | None:
        """Return the peer to fetch from now, or None if no fetch is due."""
        peers_ahead = [
            p for p, n in self.peer_revisions.items() if n > self.current.revision
        ]
        if not peers_ahead or now < self.next_fetch_at:
            return None
        if self._service_may_deliver(now):
            return None
        self.next_fetch_at = now + FETCH_RETRY_INTERVAL_S
        highest_revision = max(self.peer_revisions[peer] for peer in peers_ahead)
        return self.rng.choice(
            [p for p in peers_ahead if self.peer_revisions[p] == highest_revision]
        )

    def entries_after(self, number: int) -> tuple[Revision, ...] | None:
        """Return the entries after a revision, or None if they are discarded."""
        if number >= self.current.revision:
            return ()
        if not self.recent or number < self.recent[0].number - 1:
            return None
        return tuple(entry for entry in self.recent if entry.number > number)

    def choose_peers(self, peers: list[str], count: int) -> list[str]:
        """Return a random sample of the peers, to be notified of a new revision."""
        return self.rng.sample(peers, min(count, len(peers)))

    # State.

    def is_fresh(self, now: float) -> bool:
        """Return whether a withdrawal, such as of a key, would have arrived by now."""
        if not self.loaded or now - self.last_contact_at > self.stale_after_s:
            return False
        if self.behind_since is None:
            return True
        return now - self.behind_since <= self.stale_after_s

    def is_ready(self, peer_count: int) -> bool:
        """Return whether serving may start.

        It may not at a lower revision than the peers have. An instance that got
        its configuration from peers alone therefore needs reports of several.
        """
        if not self.loaded or self.current.revision < self.highest_peer_revision():
            return False
        if self.service_loaded:
            return True
        return len(self.peer_revisions) >= min(MIN_PEERS_TO_START, peer_count)

    def highest_peer_revision(self) -> int:
        """Return the highest revision that a peer has reported."""
        return max(self.peer_revisions.values(), default=0)

    def _service_may_deliver(self, now):
        if not (self.loaded and self.service_reachable):
            return False
        return now < (self.behind_since or now) + FETCH_DELAY_S

    def _clear_if_caught_up(self):
        if self.current.revision >= self.highest_peer_revision():
            self.behind_since = None
            self.next_fetch_at = float("-inf")
