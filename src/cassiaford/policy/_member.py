"""The instances of the fleet, as an instance knows them."""

import enum
from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """An instance of the fleet, as its peers know it.

    A restarted instance has a higher `incarnation`. One that is not yet
    `ready`, or is `leaving`, takes no new requests.
    """

    instance: str
    incarnation: int
    data_centre: str
    http_address: str
    peer_address: str
    leaving: bool = False
    revision: int = 0
    ready: bool = True


class MemberState(enum.IntEnum):
    """What is believed of a member; a higher state wins at equal versions."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True)
class MemberUpdate:
    """A belief about a member, as it is told from instance to instance.

    Only the member itself raises `version`, to refute a suspicion or to say
    that it is leaving.
    """

    member: Member
    version: int
    state: MemberState

    def overrides(self, other: "MemberUpdate") -> bool:
        """Return whether this belief is newer than another one."""
        return self._order() > other._order()

    def _order(self):
        return (self.member.incarnation, self.version, self.state)
