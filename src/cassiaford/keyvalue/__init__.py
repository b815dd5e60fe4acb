"""The platform's key-value service and its lagging list of instances."""

from cassiaford.keyvalue._service import (
    CasResult,
    Entry,
    InstanceRecord,
    KeyValueError,
    KeyValueService,
    Lease,
    OutcomeUnknownError,
    UnavailableError,
)

__all__ = [
    "CasResult",
    "Entry",
    "InstanceRecord",
    "KeyValueError",
    "KeyValueService",
    "UnavailableError",
    "Lease",
    "OutcomeUnknownError",
]
