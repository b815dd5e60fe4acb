"""The table of members, which merges updates and expires suspicions."""

import math
from dataclasses import dataclass, replace

import xxhash

from cassiaford.policy._member import Member, MemberState, MemberUpdate

# A suspected member has this many heartbeat periods, times the logarithm of
# the fleet's size, to refute the suspicion.
SUSPICION_PERIODS = 1.0
MIN_SUSPICION_PERIODS = 4.0

# Dead members are kept for this long, so that a partition that heals is noticed.
DEAD_MEMBER_TTL_S = 3600.0


@dataclass
class _Row:
    update: MemberUpdate
    since: float
    hash: int


class MemberTable:
    """One instance's state of all other members."""

    def __init__(self, heartbeat_interval_s: float):
        self.heartbeat_interval_s = heartbeat_interval_s
        self.rows: dict[str, _Row] = {}
        # The exclusive or of all rows' hashes, which does not depend on their order.
        self.digest = 0

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Apply an update; return whether it changed the table."""
        row = self.rows.get(update.member.instance)
        if row is None:
            if update.state >= MemberState.DEAD:
                return False
        elif not update.overrides(row.update):
            return False
        else:
            update = _keep_revision(update, row.update)
        self._put(_Row(update, now, digest_of(update)))
        return True

    def update_revision(self, instance: str, revision: int) -> None:
        """Record the configuration revision that a member has reported itself."""
        row = self.rows.get(instance)
        if row is not None and row.update.member.revision < revision:
            member = replace(row.update.member, revision=revision)
            row.update = replace(row.update, member=member)

    def get(self, instance: str) -> MemberUpdate | None:
        """Return the latest update about a member, if any."""
        row = self.rows.get(instance)
        return row.update if row else None

    def live(self) -> list[Member]:
        """Return the members that are alive or only suspected."""
        return [
            row.update.member
            for row in self.rows.values()
            if row.update.state <= MemberState.SUSPECT
        ]

    def suspects(self) -> list[Member]:
        """Return the members that are suspected."""
        return [
            row.update.member
            for row in self.rows.values()
            if row.update.state is MemberState.SUSPECT
        ]

    def dead(self) -> list[Member]:
        """Return the members that are assumed dead and did not leave."""
        return [
            row.update.member
            for row in self.rows.values()
            if row.update.state is MemberState.DEAD
        ]

    def with_state(self, instance: str, state: MemberState) -> MemberUpdate | None:
        """Return a member's update with a worse state; None if it is not worse."""
        update = self.get(instance)
        if update is None or update.state >= state:
            return None
        return replace(update, state=state)

    def expired_suspicions(self, now: float) -> list[MemberUpdate]:
        """Return updates that declare members dead whose suspicion has expired."""
        deadline = now - self._suspicion_s()
        return [
            replace(row.update, state=MemberState.DEAD)
            for row in self.rows.values()
            if row.update.state is MemberState.SUSPECT and row.since <= deadline
        ]

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend all suspicions, after this instance itself was paused."""
        for row in self.rows.values():
            if row.update.state is MemberState.SUSPECT:
                row.since += seconds

    def remove_expired(self, now: float) -> None:
        """Remove members that have been dead or gone for `DEAD_MEMBER_TTL_S`."""
        gone = [
            instance
            for instance, row in self.rows.items()
            if row.update.state >= MemberState.DEAD
            and now - row.since > DEAD_MEMBER_TTL_S
        ]
        for instance in gone:
            self.digest ^= self.rows.pop(instance).hash

    def _put(self, row):
        instance = row.update.member.instance
        if instance in self.rows:
            self.digest ^= self.rows[instance].hash
        self.digest ^= row.hash
        self.rows[instance] = row

    def _suspicion_s(self):
        periods = SUSPICION_PERIODS * math.log2(len(self.rows) + 2)
        return max(MIN_SUSPICION_PERIODS, periods) * self.heartbeat_interval_s


def digest_of(update: MemberUpdate) -> int:
    """Return a hash of a member's state; 0 if it is dead or has left."""
    if update.state >= MemberState.DEAD:
        return 0
    member = update.member
    text = f"{member.instance}/{member.incarnation}/{update.version}"
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "replace"))


def _keep_revision(update, current):
    if update.member.incarnation != current.member.incarnation:
        return update
    revision = max(update.member.revision, current.member.revision)
    return replace(update, member=replace(update.member, revision=revision))
