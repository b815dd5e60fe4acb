"""The day sheet (declared configuration) of the demo."""

from collections.abc import Mapping
from dataclasses import fields

from cassiaford.config import BackendServer
from standins.cluster import Cluster

CUSTOMER = "academy"
FORMER_CUSTOMER = "former-shop"
MODEL = "binder-7b"
# Tokens per second and tokens; well above what the demo's callers use.
RATE = 400_000
BURST = 2_000_000
MAX_OUTPUT = 1024


def academy_sheet(cluster: Cluster) -> dict[str, object]:
    """Return the day sheet for the backend servers of a cluster."""
    group = cluster.layout.service_group
    customer = {"rate": RATE, "burst": BURST, "models": [MODEL]}
    return {
        "customers": {CUSTOMER: customer, FORMER_CUSTOMER: customer},
        "models": {
            name: {"version": version, "max_output": MAX_OUTPUT}
            for name, version in cluster.layout.models
        },
        "routes": {
            "/bookings": {"group": group, "repeatable": False},
            "/lookup": {"group": group},
        },
        "servers": {server.name: _fields(server) for server in cluster.servers()},
    }


def _fields(server: BackendServer) -> Mapping[str, object]:
    values = {field.name: getattr(server, field.name) for field in fields(server)}
    values["kind"] = server.kind.value
    for name in ("name", "state"):
        del values[name]
    return {name: value for name, value in values.items() if value is not None}
