"""The settings of one gateway, in the product's own terms."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GatewayAddresses:
    """Where a gateway listens, as ``host:port``.

    `front` serves callers, `readiness` the platform's probe, `directory`
    callers that ask where to connect, `metrics` the collector of metrics, and
    `peer` other instances, over UDP for reports and over TCP for copies of the
    store.
    """

    front: str
    readiness: str
    directory: str
    peer: str
    metrics: str


@dataclass(frozen=True)
class RetryLimits:
    """How often the fleet may resend; see `SendBudget`."""

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True)
class GatewaySettings:
    """What a gateway is started with.

    `rate_window_s` is the window in which a customer may spend its burst beside
    its rate, `weights_within_s` the time in which named weights are to be in
    place everywhere, `drain_s` the time from a planned stop to the end of the
    process, `directory_ttl_s` how long callers may keep a directory's answer.
    """

    instance: str
    data_centre: str
    addresses: GatewayAddresses
    store_address: str
    retry_limits: RetryLimits
    rate_window_s: float
    weights_within_s: float
    drain_s: float
    directory_ttl_s: float
