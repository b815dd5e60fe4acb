"""Outcomes and releases of claims that are yet to be written."""

from dataclasses import replace

from cassiaford.policy._claims import ClaimRecord, ClaimState
from cassiaford.verdict import Verdict

MAX_QUEUED_OUTCOMES = 10_000
# Above this size in bytes a shard keeps no more bodies of answers.
BODY_VALUE_BYTES = 600_000


class ChangeQueue:
    """The changes to claims of a shard, by nonce.

    `step` counts the calls for the shard. A change is as old as the call that
    was chosen last when it was queued, and what an older call has read says
    nothing of it.
    """

    def __init__(self):
        self.step = 0
        self._changes = {}
        self._queued_at = {}

    def __len__(self):
        return len(self._changes)

    def __contains__(self, nonce):
        return nonce in self._changes

    @property
    def full(self) -> bool:
        """Whether no more outcomes are to be queued."""
        return len(self._changes) >= MAX_QUEUED_OUTCOMES

    def add(self, change: ClaimRecord) -> None:
        """Queue the record of an outcome; verdict *not run* is a release."""
        self._changes[change.nonce] = change
        self._queued_at[change.nonce] = self.step

    def outcome_of(self, key: str) -> ClaimRecord | None:
        """Return a queued outcome for a key, releases apart."""
        for change in self._changes.values():
            if change.key == key and change.verdict is not Verdict.NOT_RUN:
                return change
        return None

    def apply(self, records: dict[str, ClaimRecord], size: int) -> int:
        """Apply all to the records of a shard; return its size in bytes then."""
        for change in self._changes.values():
            size += _apply(records, change, size)
        return size

    def drop_applied(self, records: dict[str, ClaimRecord], void: bool) -> None:
        """Drop what the shard holds now, or has no claim for.

        The latter only if `void`: no write that might yet take effect could
        bring the claim about.
        """
        for nonce, change in list(self._changes.items()):
            standing = records.get(change.key)
            if standing is not None and standing.nonce == nonce:
                applied = standing.state is ClaimState.ENDED
            else:
                applied = void and self._queued_at[nonce] < self.step
            if applied:
                del self._changes[nonce]
                del self._queued_at[nonce]


def _apply(records, change, size):
    """Apply an outcome to the claim that it belongs to; return the growth."""
    standing = records.get(change.key)
    if standing is None or standing.nonce != change.nonce:
        return 0
    if change.verdict is Verdict.NOT_RUN:
        # A recorded outcome is never released: it may be told already.
        if standing.state is ClaimState.ENDED:
            return 0
        del records[change.key]
        return -standing.size
    if size > BODY_VALUE_BYTES:
        kept = change.body_kept and not change.body
        change = replace(change, body=b"", body_kept=kept)
    records[change.key] = change
    return change.size - standing.size
