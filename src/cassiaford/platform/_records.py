"""Decoding of the entries that operators and backend servers write to the store."""

from cassiaford.gateway import (
    BackendServer,
    CallerLimits,
    Configuration,
    Customer,
    EngineSpec,
    MalformedError,
    PrefixStore,
    RecordDecoder,
    RequestKind,
    Route,
    Service,
    Target,
)
from cassiaford.platform._json import (
    boolean,
    integer,
    number,
    objects,
    parse_object,
    string,
    strings,
)

_ROUTE_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}
# Callers abandon a stream after a gap of two seconds, four times the target latency
# or eight times the target pause, whichever is longest (PROTOCOL, Requests).
_MIN_PATIENCE_S = 2.0
_PATIENCE_PER_TARGET_LATENCY = 4
_PATIENCE_PER_TARGET_PAUSE = 8
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class PlatformRecordDecoder(RecordDecoder):
    """Decodes configurations, named versions and server entries."""

    configuration_key = "op/config"
    operators_prefix = "op/"
    versions_prefix = "op/version/"
    servers_prefix = "servers/"

    def configuration(self, value: bytes) -> Configuration:
        """Return the decoded configuration."""
        document = parse_object(value)
        customers = {}
        customers_by_key = {}
        for entry in objects(document, "Tenants"):
            customer = _customer(entry)
            customers[customer.name] = customer
            customers_by_key.update(dict.fromkeys(strings(entry, "ApiKeys"), customer))
        services = [_service(entry) for entry in objects(document, "Services")]
        return Configuration(
            version=integer(document, "Version"),
            routes=tuple(_route(entry) for entry in objects(document, "Routes")),
            services={service.name: service for service in services},
            customers=customers,
            customers_by_key=customers_by_key,
            limits=_limits(document.get("Limits") or {}),
            prefix_stores=tuple(
                PrefixStore(
                    string(entry, "KvStoreAddr"),
                    string(entry, "Zone"),
                    _bytes_per_s(entry),
                )
                for entry in objects(document, "Services")
                if entry.get("KvStoreAddr")
            ),
        )

    def named_version(self, value: bytes) -> tuple[str, int]:
        """Return a model and its named version."""
        document = parse_object(value)
        return string(document, "Model"), integer(document, "Version")

    def server(self, key: str, value: bytes) -> BackendServer:
        """Return the registered backend server."""
        document = parse_object(value)
        state = string(document, "State")
        if state not in _DRAINING_BY_STATE:
            raise MalformedError(f"unknown state {state!r}")
        return BackendServer(
            server_id=key.removeprefix(self.servers_prefix),
            service=string(document, "Service"),
            address=_address(document),
            data_centre=string(document, "Zone"),
            slots=integer(document, "Slots", 1),
            draining=_DRAINING_BY_STATE[state],
            started_at=integer(document, "born", 0),
            versions=versions_of(document),
            software_version=_software_version(document),
        )


def versions_of(document: dict) -> dict[str, int]:
    """Return the versions of weights by model, from the field `Models`."""
    return {
        string(model, "Name"): integer(model, "Version")
        for model in objects(document, "Models")
    }


def _software_version(document):
    """Return the version of a server's software, or None if it names none.

    Such a server still takes new streams.
    """
    value = document.get("Version")
    return value if isinstance(value, str) and value else None


def _address(document):
    address = string(document, "Address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise MalformedError(f"{address!r} is not an address")
    return address


def _route(entry):
    kind = string(entry, "Kind")
    if kind not in _ROUTE_KINDS:
        raise MalformedError(f"unknown kind {kind!r}")
    target_latency_s = number(entry, "TargetLatencyMs", 1000) / 1000
    target_pause_s = number(entry, "GapAimMs", 0) / 1000
    return Route(
        name=string(entry, "Name"),
        host=string(entry, "Host"),
        path_prefix=string(entry, "PathPrefix"),
        kind=_ROUTE_KINDS[kind],
        targets=_targets(entry),
        timeout_s=number(entry, "TimeoutMs") / 1000,
        target_latency_s=target_latency_s,
        target_pause_s=target_pause_s,
        priority=integer(entry, "Priority", 0),
        max_attempts=max(1, integer(entry, "MaxAttempts", 1)),
        public=boolean(entry, "Public"),
        resumable=boolean(entry, "Resumable"),
        patience_s=max(
            _MIN_PATIENCE_S,
            _PATIENCE_PER_TARGET_LATENCY * target_latency_s,
            _PATIENCE_PER_TARGET_PAUSE * target_pause_s,
        ),
    )


def _targets(entry):
    split = objects(entry, "TrafficSplit")
    if split:
        targets = [Target(string(t, "Service"), number(t, "Weight", 1)) for t in split]
        weighted = tuple(target for target in targets if target.weight > 0)
        if weighted:
            return weighted
    return (Target(string(entry, "Service"), 1.0),)


def _service(entry):
    engine = entry.get("Engine")
    spec = None
    if isinstance(engine, dict):
        spec = EngineSpec(
            slots=integer(engine, "Slots", 1),
            cache_tokens=integer(engine, "KvCapacityTokens", 0),
            token_bytes=number(engine, "KvTokenBytes", 0),
            link_bytes_per_s=_bytes_per_s(engine),
            models=tuple(string(m, "Name") for m in objects(engine, "Models")),
        )
    return Service(string(entry, "Name"), integer(entry, "MaxConnections", 0), spec)


def _bytes_per_s(entry):
    return number(entry, "LinkMbps", 0) * 1e6 / 8


def _customer(entry):
    priority = entry.get("Priority")
    in_tokens = entry.get("Unit") == "tokens"
    return Customer(
        name=string(entry, "Name"),
        priority=integer(entry, "Priority") if priority is not None else None,
        isolated=boolean(entry, "Isolated"),
        rate=number(entry, "RatePerS", 0),
        burst=number(entry, "Burst", 0),
        plain_request_tokens=number(entry, "PlainTokens", 1) if in_tokens else 1.0,
    )


def _limits(entry):
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=integer(entry, "MaxHeaderBytes", defaults.header_bytes),
        body_bytes=integer(entry, "MaxBodyBytes", defaults.body_bytes),
        header_timeout_s=number(entry, "HeaderTimeoutMs", 3000) / 1000,
        idle_timeout_s=number(entry, "IdleTimeoutMs", 15000) / 1000,
    )
