"""The settings file that the platform writes for a process."""

import pathlib

from cassiaford.gateway import (
    GatewayAddresses,
    GatewaySettings,
    MalformedError,
    RetryLimits,
)
from cassiaford.platform._json import number, parse_object, text

# Names the settings file.
PATH_VARIABLE = "CASSIAFORD_BOOT"
# Callers keep a directory's answer for this long; a change of the fleet
# reaches them with the next one.
DIRECTORY_TTL_S = 1.0
# Named in the deploy file too.
METRICS_PORT = 9464
# Where the platform bounds them by nothing, the bounds of its pages.
_WEIGHTS_WITHIN_MS = 6000
_GRACE_S = 8
_RATE_WINDOW_S = 8


def read_settings(path: pathlib.Path) -> GatewaySettings:
    """Return the settings of a process; raise `MalformedError`."""
    document = parse_object(path.read_bytes())
    bounds = _table(document, "Bounds")
    listen = _table(document, "Listen")
    ports = document.get("PortRange")
    if not isinstance(ports, list) or not ports:
        raise MalformedError("PortRange is not a list of ports")
    return GatewaySettings(
        instance=text(document, "Node"),
        data_centre=text(document, "Zone"),
        addresses=GatewayAddresses(
            front=text(listen, "Front"),
            readiness=text(listen, "Ready"),
            directory=text(listen, "Directory"),
            peer=f"{text(document, 'Ip')}:{ports[0]}",
            metrics=f"{text(document, 'Ip')}:{METRICS_PORT}",
        ),
        store_address=text(_table(document, "Platform"), "Address"),
        retry_limits=RetryLimits(
            ratio=number(bounds, "RetryBudgetRatio", 0.1),
            slack=number(bounds, "BudgetSlack", 0),
            window_s=number(bounds, "BudgetWindowS", 10),
        ),
        rate_window_s=number(bounds, "QuotaWindowS", _RATE_WINDOW_S),
        weights_within_s=number(bounds, "VersionMs", _WEIGHTS_WITHIN_MS) / 1000,
        drain_s=number(bounds, "GraceS", _GRACE_S),
        directory_ttl_s=min(DIRECTORY_TTL_S, number(bounds, "ttl_max_s", 5)),
    )


def _table(document, name):
    value = document.get(name)
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is not a table")
    return value
