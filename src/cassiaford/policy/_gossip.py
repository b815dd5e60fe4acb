"""The choice of member updates to append to messages between instances."""

import math
from dataclasses import dataclass

from cassiaford.policy._member import MemberUpdate

# The number of times an update is sent, for each doubling of the fleet's size.
SENDS_PER_DOUBLING = 2


@dataclass
class _QueuedUpdate:
    update: MemberUpdate
    sends: int = 0


class GossipQueue:
    """The member updates that still have to be sent.

    Each is sent a number of times that grows with the logarithm of the fleet's
    size, as in SWIM (Das, Gupta and Motivala, 2002). Those sent the fewest times
    go first.
    """

    def __init__(self):
        self.queued: dict[str, _QueuedUpdate] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, replacing an older one about the same member."""
        self.queued[update.member.instance] = _QueuedUpdate(update)

    def take(self, count: int, fleet_size: int) -> list[MemberUpdate]:
        """Return up to `count` updates and count them as sent."""
        limit = SENDS_PER_DOUBLING * math.ceil(math.log2(fleet_size + 1))
        chosen = sorted(self.queued.items(), key=lambda item: item[1].sends)[:count]
        for instance, entry in chosen:
            entry.sends += 1
            if entry.sends >= limit:
                del self.queued[instance]
        return [entry.update for _, entry in chosen]
