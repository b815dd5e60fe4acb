"""Choosing which updates to append to the next message between instances."""

import math
from dataclasses import dataclass

from cassiaford.policy._member import MemberUpdate

# An update is sent this often for each doubling of the fleet.
SENDS_PER_DOUBLING = 2


@dataclass
class _Rumour:
    update: MemberUpdate
    sends: int = 0


class GossipQueue:
    """The updates that have not been told often enough yet.

    Each update is sent a number of times that grows with the logarithm of the
    fleet, as in SWIM (Das, Gupta and Motivala, 2002), the least told first.
    """

    def __init__(self):
        self.rumours: dict[str, _Rumour] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update in place of an older one about the same member."""
        self.rumours[update.member.instance] = _Rumour(update)

    def take(self, count: int, fleet_size: int) -> list[MemberUpdate]:
        """Return up to `count` updates and count them as sent."""
        limit = SENDS_PER_DOUBLING * math.ceil(math.log2(fleet_size + 1))
        chosen = sorted(self.rumours.items(), key=lambda item: item[1].sends)[:count]
        for instance, rumour in chosen:
            rumour.sends += 1
            if rumour.sends >= limit:
                del self.rumours[instance]
        return [rumour.update for _, rumour in chosen]
