"""The typed settings of one process.

A new setting is a field here; the settings page in the docs is held to these
classes by a test.
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
    """The interface towards callers.

    `threads` receive and answer requests; streams do not occupy them.
    `receive_timeout_s` bounds the arrival of a request's head and body.
    """

    address: Address
    threads: Annotated[int, Field(ge=2, le=256)] = 16
    max_body_bytes: Annotated[int, Field(ge=1024)] = 8 * 1024 * 1024
    max_header_bytes: Annotated[int, Field(ge=1024)] = 64 * 1024
    receive_timeout_s: Seconds = 10.0


@dataclass(frozen=True, config=STRICT)
class PeerSettings:
    """The interface towards the other instances of the fleet.

    `secret` authenticates every message between instances; `seeds` are peers
    to try when neither the platform's list nor the key-value service answers.
    `heartbeat_interval_s` is the time between two probes of peers.
    """

    address: Address
    secret: Annotated[SecretStr, Field(min_length=16)]
    seeds: tuple[Address, ...] = ()
    heartbeat_interval_s: Seconds = 1.0


@dataclass(frozen=True, config=STRICT)
class KeyValueSettings:
    """The platform's key-value service and its list of instances.

    `timeout_s` bounds a call, and `watch_timeout_s` how long a watch may wait
    for a change. `list_lag_s` is the longest time by which the list is late.
    """

    address: Address
    list_address: Address
    timeout_s: Seconds = 1.0
    watch_timeout_s: Seconds = 30.0
    list_lag_s: Seconds = 10.0


@dataclass(frozen=True, config=STRICT)
class ControlSettings:
    """The interface towards operators; the token guards status and time line."""

    token: Annotated[SecretStr, Field(min_length=16)]


@dataclass(frozen=True, config=STRICT)
class LimitSettings:
    """Time limits and bounds on the work that an instance takes on.

    `stale_after_s` is the time without word from the key-value service and
    from every peer after which the instance refuses requests with a key.
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
    """The orders to engines to load weights; alike on all instances.

    `loads_at_once` is what the weight store allows. An order is sent within
    `lease_s` of its grant and arrives within `order_flight_s` or never; a
    load that takes longer than `load_timeout_s` is given up. A new version is
    ordered `settle_s` after an instance has seen it, when all others have.
    """

    loads_at_once: Annotated[int, Field(ge=1)] = 2
    lease_s: Seconds = 10.0
    order_flight_s: Seconds = 5.0
    load_timeout_s: Seconds = 60.0
    settle_s: Seconds = 7.0


@dataclass(frozen=True, config=STRICT)
class LogSettings:
    """The form and the least level of log lines."""

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
