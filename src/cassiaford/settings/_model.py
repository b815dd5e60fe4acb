"""The data classes of the settings of one process.

A new setting is a new field here; a test checks that the settings page in the docs
agrees with these classes.
"""

from typing import Annotated, Literal

from pydantic import ConfigDict, Field, SecretStr
from pydantic.dataclasses import dataclass

STRICT = ConfigDict(extra="forbid")

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[
    str,
    Field(
        pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
        description="an IPv4 address and port, such as 127.0.0.1:8080",
    ),
]
Seconds = Annotated[float, Field(gt=0)]


@dataclass(frozen=True, config=STRICT)
class HttpSettings:
    """The HTTP interface for callers.

    `threads` is the number of threads that receive requests and send responses;
    streams do not occupy them. `receive_timeout_s` bounds the time in which a
    request's head and body must arrive.
    """

    address: Address
    threads: Annotated[int, Field(ge=2, le=256)] = 16
    max_body_bytes: Annotated[int, Field(ge=1024)] = 8 * 1024 * 1024
    max_header_bytes: Annotated[int, Field(ge=1024)] = 64 * 1024
    receive_timeout_s: Seconds = 10.0


@dataclass(frozen=True, config=STRICT)
class PeerSettings:
    """The interface for the other instances of the fleet.

    `secret` authenticates every message between instances; `seeds` are peers to
    try when neither the platform's list nor the key-value service responds.
    `heartbeat_interval_s` is the time between two probes of peers.
    """

    address: Address
    secret: Annotated[SecretStr, Field(min_length=16)]
    seeds: tuple[Address, ...] = ()
    heartbeat_interval_s: Seconds = 1.0


@dataclass(frozen=True, config=STRICT)
class KeyValueSettings:
    """The platform's key-value service and its list of instances.

    `timeout_s` bounds a call, and `watch_timeout_s` how long a watch may wait for
    a change. `list_lag_s` is the maximum lag of the list.
    """

    address: Address
    list_address: Address
    timeout_s: Seconds = 1.0
    watch_timeout_s: Seconds = 30.0
    list_lag_s: Seconds = 10.0


@dataclass(frozen=True, config=STRICT)
class ControlSettings:
    """The interface for operators; `token` protects status and time line."""

    token: Annotated[SecretStr, Field(min_length=16)]


@dataclass(frozen=True, config=STRICT)
class LimitSettings:
    """Timeouts and limits on an instance's work.

    `stale_after_s` is the time without contact with the key-value service and
    all peers after which the instance refuses requests with a key.
    """

    connect_timeout_s: Seconds = 0.5
    first_byte_timeout_s: Seconds = 60.0
    silence_timeout_s: Seconds = 2.0
    request_timeout_s: Seconds = 600.0
    queue_wait_s: Seconds = 2.0
    batch_queue_wait_s: Seconds = 30.0
    queue_length: Annotated[int, Field(ge=1)] = 64
    drain_timeout_s: Seconds = 60.0
    lookup_max_age_s: Seconds = 2.0
    stale_after_s: Seconds = 4.0


@dataclass(frozen=True, config=STRICT)
class OrderSettings:
    """The orders to engines to load weights; must be equal on all instances.

    `loads_at_once` is the number of concurrent loads that the weight store allows.
    An order is sent within `lease_s` of its grant and arrives within
    `order_flight_s` or never; a load that takes longer than `load_timeout_s` is
    abandoned. A new version is ordered `settle_s` after an instance has seen it,
    since all others have seen it by then.
    """

    loads_at_once: Annotated[int, Field(ge=1)] = 2
    lease_s: Seconds = 10.0
    order_flight_s: Seconds = 5.0
    load_timeout_s: Seconds = 60.0
    settle_s: Seconds = 7.0


@dataclass(frozen=True, config=STRICT)
class LogSettings:
    """The format and the minimum level of log lines."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, config=STRICT)
class Settings:
    """All settings of one process."""

    instance: Name
    data_centre: Name
    http: HttpSettings
    peers: PeerSettings
    key_value: KeyValueSettings
    control: ControlSettings
    limits: LimitSettings = Field(default_factory=LimitSettings)
    orders: OrderSettings = Field(default_factory=OrderSettings)
    log: LogSettings = Field(default_factory=LogSettings)
