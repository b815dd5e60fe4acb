"""The members of the fleet and the updates about them."""

import enum
from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """An instance of the fleet, as it describes itself to its peers.

    A restarted instance has a higher `incarnation`. An instance that is not
    `ready` yet, or is `leaving`, takes no new requests.
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
    """The assumed state of a member; the higher state wins at equal versions."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True)
class MemberUpdate:
    """The state of a member, as instances report it to each other.

    Only the member itself raises `version`, to refute a suspicion or to
    announce that it is leaving.
    """

    member: Member
    version: int
    state: MemberState

    def overrides(self, other: "MemberUpdate") -> bool:
        """Return whether this update is newer than another one."""
        return self._order() > other._order()

    def _order(self):
        return (self.member.incarnation, self.version, self.state)
