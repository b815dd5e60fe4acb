"""The settings file that the platform writes for each process."""

import pathlib

from cassiaford.gateway import (
    GatewayAddresses,
    GatewaySettings,
    MalformedError,
    RetryLimits,
)
from cassiaford.platform._json import boolean, number, parse_object, string

# Environment variable with the path of the settings file.
PATH_VARIABLE = "CASSIAFORD_BOOT"
# Time for which callers may cache a directory response; changes of the fleet reach
# them with the next one.
DIRECTORY_TTL_S = 1.0
# The deploy file names this port too.
METRICS_PORT = 9464
# Defaults of the platform's documentation for bounds that the file does not set.
_DEFAULT_CHANGES_WITHIN_MS = 2000
_DEFAULT_WEIGHTS_WITHIN_MS = 6000
_DEFAULT_GRACE_S = 8
_DEFAULT_RATE_WINDOW_S = 8


def read_settings(path: pathlib.Path) -> GatewaySettings:
    """Return the settings in a file; raise `MalformedError` or `OSError`."""
    document = parse_object(path.read_bytes())
    bounds = _object(document, "Bounds")
    listen = _object(document, "Listen")
    ports = document.get("PortRange")
    if not isinstance(ports, list) or not ports:
        raise MalformedError("PortRange is not a list of ports")
    return GatewaySettings(
        instance=string(document, "Node"),
        data_centre=string(document, "Zone"),
        addresses=GatewayAddresses(
            front=string(listen, "Front"),
            readiness=string(listen, "Ready"),
            directory=string(listen, "Directory"),
            peer=f"{string(document, 'Ip')}:{ports[0]}",
            metrics=f"{string(document, 'Ip')}:{METRICS_PORT}",
        ),
        store_address=string(_object(document, "Platform"), "Address"),
        retry_limits=RetryLimits(
            ratio=number(bounds, "RetryBudgetRatio", 0.1),
            slack=number(bounds, "BudgetSlack", 0),
            window_s=number(bounds, "BudgetWindowS", 10),
        ),
        changes_within_s=_changes_within_s(bounds),
        rate_window_s=number(bounds, "QuotaWindowS", _DEFAULT_RATE_WINDOW_S),
        weights_within_s=number(bounds, "VersionMs", _DEFAULT_WEIGHTS_WITHIN_MS) / 1000,
        drain_s=number(bounds, "GraceS", _DEFAULT_GRACE_S),
        first_start=boolean(document, "Bootstrap"),
        directory_ttl_s=min(DIRECTORY_TTL_S, number(bounds, "ttl_max_s", 5)),
    )


def _changes_within_s(bounds):
    """Return the shorter of the bounds on configurations and on leaving servers."""
    names = ("ConfigApplyMs", "DrainMs")
    return min(number(bounds, n, _DEFAULT_CHANGES_WITHIN_MS) for n in names) / 1000


def _object(document, name):
    value = document.get(name)
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is not an object")
    return value
