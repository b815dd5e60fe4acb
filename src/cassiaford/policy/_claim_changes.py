"""Outcomes and releases of claims that are not written to the shard yet."""

from dataclasses import replace

from cassiaford.policy._claims import ClaimRecord, ClaimState
from cassiaford.verdict import Verdict

MAX_QUEUED_OUTCOMES = 10_000
# A shard whose value exceeds this size stores no further response bodies.
MAX_VALUE_BYTES_WITH_BODIES = 600_000


class ChangeQueue:
    """Unwritten changes to the claims of a shard, by nonce.

    `call_number` counts the calls to the service for the shard. A change is
    queued under the number of the latest call: what that call or an earlier
    one reads may precede the change.
    """

    def __init__(self):
        self.call_number = 0
        self._changes = {}
        self._queued_at = {}

    def __len__(self):
        return len(self._changes)

    def __contains__(self, nonce):
        return nonce in self._changes

    @property
    def full(self) -> bool:
        """Whether the queue has reached its limit of changes."""
        return len(self._changes) >= MAX_QUEUED_OUTCOMES

    def add(self, change: ClaimRecord) -> None:
        """Queue the record of an outcome; the verdict *not run* releases the claim."""
        self._changes[change.nonce] = change
        self._queued_at[change.nonce] = self.call_number

    def outcome_of(self, key: str) -> ClaimRecord | None:
        """Return the queued outcome of a key, if any; ignore releases."""
        for change in self._changes.values():
            if change.key == key and change.verdict is not Verdict.NOT_RUN:
                return change
        return None

    def apply(self, records: dict[str, ClaimRecord], size: int) -> int:
        """Apply all changes to a shard's records; return its new size in bytes."""
        for change in self._changes.values():
            size += _apply(records, change, size)
        return size

    def discard_applied(
        self, records: dict[str, ClaimRecord], writes_known: bool
    ) -> None:
        """Discard changes that the shard contains, or for which it has no claim.

        A missing claim counts only if `writes_known`: otherwise a write
        whose result is unknown could still create the claim.
        """
        for nonce, change in list(self._changes.items()):
            existing = records.get(change.key)
            if existing is not None and existing.nonce == nonce:
                applied = existing.state is ClaimState.ENDED
            else:
                applied = writes_known and self._queued_at[nonce] < self.call_number
            if applied:
                del self._changes[nonce]
                del self._queued_at[nonce]


def _apply(records, change, size):
    """Apply an outcome to its claim; return the growth in bytes."""
    existing = records.get(change.key)
    if existing is None or existing.nonce != change.nonce:
        return 0
    if change.verdict is Verdict.NOT_RUN:
        # A recorded outcome is never released: a caller may have received it.
        if existing.state is ClaimState.ENDED:
            return 0
        del records[change.key]
        return -existing.size
    if size > MAX_VALUE_BYTES_WITH_BODIES:
        kept = change.body_kept and not change.body
        change = replace(change, body=b"", body_kept=kept)
    records[change.key] = change
    return change.size - existing.size
