"""The instances as a fleet: peers, membership, the spread of configuration."""

from cassiaford.fleet._configuration import ConfigurationStore
from cassiaford.fleet._fleet import Fleet, create_fleet
from cassiaford.fleet._log import (
    Author,
    ConfigurationLog,
    LostRaceError,
    UnknownOutcomeError,
)
from cassiaford.fleet._revision_codec import ConfigurationLogError, EntryError
from cassiaford.fleet._transport import (
    Channel,
    Member,
    PeerMessage,
    PeerTransport,
    RequestTransport,
)

__all__ = [
    "Author",
    "Channel",
    "ConfigurationLog",
    "ConfigurationLogError",
    "ConfigurationStore",
    "EntryError",
    "Fleet",
    "LostRaceError",
    "Member",
    "PeerMessage",
    "PeerTransport",
    "RequestTransport",
    "UnknownOutcomeError",
    "create_fleet",
]
