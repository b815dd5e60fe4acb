"""Where streams began, and who may continue them: decisions without any I/O.

Different software versions of a service generate different text, so a stream
stays with the version that began it. Both kinds of entry instance use this.
"""

from cassiaford.origins._origin import StreamOrigin, may_continue, origin_of
from cassiaford.origins._owners import owners
from cassiaford.origins._table import (
    MAX_ORIGINS,
    ORIGIN_TTL_S,
    OriginRecord,
    OriginTable,
    attempt_digest,
    origin_digest,
)

__all__ = [
    "MAX_ORIGINS",
    "ORIGIN_TTL_S",
    "OriginRecord",
    "OriginTable",
    "StreamOrigin",
    "attempt_digest",
    "may_continue",
    "origin_digest",
    "origin_of",
    "owners",
]
