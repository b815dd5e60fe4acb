"""The day sheet (declared configuration) of the demo."""

from collections.abc import Mapping
from dataclasses import fields

from cassiaford.config import BackendServer
from standins.cluster import Cluster

CUSTOMER = "academy"
FORMER_CUSTOMER = "former-shop"
MODEL = "binder-7b"
# The rate and the burst are well above what the demo's callers use.
RATE_TOKENS_PER_S = 400_000
BURST_TOKENS = 2_000_000
MAX_OUTPUT_TOKENS = 1024


def academy_sheet(cluster: Cluster) -> dict[str, object]:
    """Return the day sheet for the backend servers of a cluster."""
    group = cluster.layout.service_group
    customer = {"rate": RATE_TOKENS_PER_S, "burst": BURST_TOKENS, "models": [MODEL]}
    return {
        "customers": {CUSTOMER: customer, FORMER_CUSTOMER: customer},
        "models": {
            name: {"version": version, "max_output": MAX_OUTPUT_TOKENS}
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
