"""The settings of one gateway, independent of the platform."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GatewayAddresses:
    """The addresses on which a gateway listens, as ``host:port``.

    `front` serves callers, `readiness` the platform's probe, `directory`
    callers that ask where to connect, and `metrics` the metrics collector.
    `peer` serves other instances, over UDP for reports and over TCP for copies
    of the store.
    """

    front: str
    readiness: str
    directory: str
    peer: str
    metrics: str


@dataclass(frozen=True)
class RetryLimits:
    """The limits on the fleet's retries; see `RetryBudget`."""

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True)
class GatewaySettings:
    """The settings that a gateway is started with.

    `changes_within_s` is the time within which a change of the configuration or
    of a backend server's entry must be in force. `rate_window_s` is the window
    in which a customer may spend its burst in addition to its rate.
    `weights_within_s` is the time within which every engine must have newly
    named weights. `drain_s` is the time from a planned stop to the end of the
    process. `directory_ttl_s` is how long callers may cache a response of the
    directory. `first_start` is whether the whole fleet starts for the first
    time, so that nothing was spent before.
    """

    instance: str
    data_centre: str
    addresses: GatewayAddresses
    store_address: str
    retry_limits: RetryLimits
    changes_within_s: float
    rate_window_s: float
    weights_within_s: float
    drain_s: float
    directory_ttl_s: float
    first_start: bool = False
