"""Clients of the platform's key-value service and its lagging list of instances."""

from cassiaford.keyvalue._http import (
    HttpInstanceList,
    HttpKeyValueService,
    connect_instance_list,
    connect_key_value,
)
from cassiaford.keyvalue._service import (
    CasResult,
    Entry,
    InstanceList,
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
    "HttpInstanceList",
    "HttpKeyValueService",
    "InstanceList",
    "InstanceRecord",
    "KeyValueError",
    "KeyValueService",
    "Lease",
    "OutcomeUnknownError",
    "UnavailableError",
    "connect_instance_list",
    "connect_key_value",
]
