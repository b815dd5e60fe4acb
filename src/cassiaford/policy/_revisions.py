"""Which configuration revision is in force, and whether it is fresh.

The revision in force only ever rises. Word of newer ones comes from the
key-value service and from peers, and either may be out of reach.
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

# Peers that are no more than this far behind get entries, not a snapshot.
RECENT_REVISIONS = 64
# The service's own word usually arrives within this time after a peer's.
FETCH_DELAY_S = 0.3
FETCH_RETRY_S = 0.5
# An instance that the service does not answer asks this many peers before it
# trusts that it knows the newest revision.
PEERS_TO_HEAR = 3


@dataclass(frozen=True)
class RevisionChange:
    """A step from one configuration to a later one.

    `rejected` says that the revision's changes do not fit; it then counts
    without having an effect, at every instance alike.
    """

    old: Configuration
    new: Configuration
    author: str = ""
    rejected: str = ""


def next_configuration(old: Configuration, revision: Revision) -> RevisionChange:
    """Return the step to the revision that follows a configuration."""
    try:
        new = apply_changes(old, revision)
    except ChangeError as error:
        new = replace(old, revision=revision.number)
        return RevisionChange(old, new, revision.author, str(error))
    return RevisionChange(old, new, revision.author)


class RevisionPolicy:
    """Decides what is in force, what to fetch, and whether it is fresh.

    `stale_after_s` is the longest time without word from anyone after which
    the configuration in force is still taken for the newest.
    """

    def __init__(self, stale_after_s: float, rng: random.Random):
        self.stale_after_s = stale_after_s
        self.rng = rng
        self.current = EMPTY_CONFIGURATION
        self.recent: collections.deque[Revision] = collections.deque(
            maxlen=RECENT_REVISIONS
        )
        self.loaded = False
        self.service_answers = False
        self.service_loaded = False
        self.word_at = float("-inf")
        self.told: dict[str, int] = {}
        self.behind_since: float | None = None
        self.next_fetch = float("-inf")

    # What arrives.

    def apply_revision(self, revision: Revision) -> RevisionChange | None:
        """Put a revision in force if it is the next one."""
        if revision.number != self.current.revision + 1:
            return None
        change = next_configuration(self.current, revision)
        self.current = change.new
        self.recent.append(revision)
        self._caught_up()
        return change

    def apply_snapshot(self, configuration: Configuration) -> RevisionChange | None:
        """Put a whole configuration in force if it is later or the first."""
        if configuration.revision <= self.current.revision:
            return None
        old, self.current = self.current, configuration
        self.recent.clear()
        self._caught_up()
        return RevisionChange(old, configuration)

    def record_service_load(self, as_of: float) -> None:
        """Take note that all that the service held at a time is in force."""
        self.loaded = True
        self.service_loaded = True
        self.record_service_contact(as_of)

    def record_service_contact(self, as_of: float) -> None:
        """Take note that the service had nothing newer at a time."""
        self.service_answers = True
        self.word_at = max(self.word_at, as_of)
        self._caught_up()

    def record_peer_load(self, as_of: float) -> None:
        """Take note that all that a peer held at a time is in force."""
        self.loaded = True
        self.word_at = max(self.word_at, as_of)
        self._caught_up()

    def record_service_failure(self) -> None:
        """Take note that the service does not answer."""
        self.service_answers = False

    def record_newer_revision(self, now: float) -> None:
        """Take note that the service has something that is not in force."""
        if self.behind_since is None:
            self.behind_since = now

    def update_from_peer(
        self, instance: str, revision: int, as_of: float | None, now: float
    ) -> None:
        """Take note of the revision in force at a peer.

        `as_of` is a time at which that was surely so, or None. A peer that is
        behind does not vouch for the revision in force here.
        """
        self.told[instance] = max(revision, self.told.get(instance, 0))
        if revision > self.current.revision:
            self.record_newer_revision(now)
            return
        vouches = self.loaded and revision == self.current.revision
        if vouches and as_of is not None:
            self.word_at = max(self.word_at, as_of)

    def remove_peer(self, instance: str) -> None:
        """Drop what a peer told that is gone."""
        self.told.pop(instance, None)

    # What to do.

    def choose_fetch_peer(self, now: float) -> str | None:
        """Return the peer to fetch from now, if anything is lacking."""
        ahead = [p for p, n in self.told.items() if n > self.current.revision]
        if not ahead or now < self.next_fetch:
            return None
        if self._service_may_tell(now):
            return None
        self.next_fetch = now + FETCH_RETRY_S
        highest = max(self.told[peer] for peer in ahead)
        return self.rng.choice([p for p in ahead if self.told[p] == highest])

    def entries_after(self, number: int) -> tuple[Revision, ...] | None:
        """Return what follows a revision, or None if that is not kept."""
        if number >= self.current.revision:
            return ()
        if not self.recent or number < self.recent[0].number - 1:
            return None
        return tuple(entry for entry in self.recent if entry.number > number)

    def choose_peers(self, peers: list[str], count: int) -> list[str]:
        """Return some of the peers to tell of a new revision."""
        return self.rng.sample(peers, min(count, len(peers)))

    # What to tell.

    def is_fresh(self, now: float) -> bool:
        """Return whether a withdrawal would have been noticed by now."""
        if not self.loaded or now - self.word_at > self.stale_after_s:
            return False
        if self.behind_since is None:
            return True
        return now - self.behind_since <= self.stale_after_s

    def is_ready(self, peer_count: int) -> bool:
        """Return whether serving may start.

        It may not at a revision lower than the peers know, so an instance
        that learnt the configuration from peers alone first hears several.
        """
        if not self.loaded or self.current.revision < self.highest_peer_revision():
            return False
        if self.service_loaded:
            return True
        return len(self.told) >= min(PEERS_TO_HEAR, peer_count)

    def highest_peer_revision(self) -> int:
        """Return the highest revision that a peer has told of."""
        return max(self.told.values(), default=0)

    def _service_may_tell(self, now):
        if not (self.loaded and self.service_answers):
            return False
        return now < (self.behind_since or now) + FETCH_DELAY_S

    def _caught_up(self):
        if self.current.revision >= self.highest_peer_revision():
            self.behind_since = None
            self.next_fetch = float("-inf")
