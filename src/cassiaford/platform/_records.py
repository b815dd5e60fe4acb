"""What operators and backend servers write into the platform's store."""

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
    flag,
    number,
    objects,
    parse_object,
    text,
    texts,
    whole,
)

_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}
# Callers leave a stream after a gap of two seconds, four times the objective or
# eight times the longest pause stated, whichever is longest (PROTOCOL, Requests).
_LEAST_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4
_PATIENCE_PAUSES = 8
_STATES = {"ready": False, "draining": True}


class PlatformRecordDecoder(RecordDecoder):
    """Decodes configurations, named weights and servers' entries."""

    configuration_key = "op/config"
    operators_prefix = "op/"
    versions_prefix = "op/version/"
    servers_prefix = "servers/"

    def configuration(self, value: bytes) -> Configuration:
        """Return a configuration."""
        document = parse_object(value)
        customers = {}
        customers_by_key = {}
        for entry in objects(document, "Tenants"):
            customer = _customer(entry)
            customers[customer.name] = customer
            customers_by_key.update(dict.fromkeys(texts(entry, "ApiKeys"), customer))
        services = [_service(entry) for entry in objects(document, "Services")]
        return Configuration(
            version=whole(document, "Version"),
            routes=tuple(_route(entry) for entry in objects(document, "Routes")),
            services={service.name: service for service in services},
            customers=customers,
            customers_by_key=customers_by_key,
            limits=_limits(document.get("Limits") or {}),
            prefix_stores=tuple(
                PrefixStore(
                    text(entry, "KvStoreAddr"), text(entry, "Zone"), _bytes_per_s(entry)
                )
                for entry in objects(document, "Services")
                if entry.get("KvStoreAddr")
            ),
        )

    def named_version(self, value: bytes) -> tuple[str, int]:
        """Return a model and the version of its weights that is named."""
        document = parse_object(value)
        return text(document, "Model"), whole(document, "Version")

    def server(self, key: str, value: bytes) -> BackendServer:
        """Return a registered backend server."""
        document = parse_object(value)
        state = text(document, "State")
        if state not in _STATES:
            raise MalformedError(f"unknown state {state!r}")
        # The field Version of an entry is that of the server's software.
        return BackendServer(
            server_id=key.removeprefix(self.servers_prefix),
            service=text(document, "Service"),
            address=_address(document),
            data_centre=text(document, "Zone"),
            slots=whole(document, "Slots", 1),
            draining=_STATES[state],
            started_at=whole(document, "born", 0),
            versions=versions_of(document),
        )


def versions_of(document: dict) -> dict[str, int]:
    """Return the weights' versions by model, from a field `Models`."""
    return {
        text(model, "Name"): whole(model, "Version")
        for model in objects(document, "Models")
    }


def _address(document):
    address = text(document, "Address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise MalformedError(f"{address!r} is not an address")
    return address


def _route(entry):
    kind = text(entry, "Kind")
    if kind not in _KINDS:
        raise MalformedError(f"unknown kind {kind!r}")
    target_latency_s = number(entry, "TargetLatencyMs", 1000) / 1000
    target_pause_s = number(entry, "GapAimMs", 0) / 1000
    return Route(
        name=text(entry, "Name"),
        host=text(entry, "Host"),
        path_prefix=text(entry, "PathPrefix"),
        kind=_KINDS[kind],
        targets=_targets(entry),
        timeout_s=number(entry, "TimeoutMs") / 1000,
        target_latency_s=target_latency_s,
        target_pause_s=target_pause_s,
        priority=whole(entry, "Priority", 0),
        max_attempts=max(1, whole(entry, "MaxAttempts", 1)),
        public=flag(entry, "Public"),
        resumable=flag(entry, "Resumable"),
        patience_s=max(
            _LEAST_PATIENCE_S,
            _PATIENCE_TARGETS * target_latency_s,
            _PATIENCE_PAUSES * target_pause_s,
        ),
    )


def _targets(entry):
    split = objects(entry, "TrafficSplit")
    if split:
        targets = [Target(text(t, "Service"), number(t, "Weight", 1)) for t in split]
        weighted = tuple(target for target in targets if target.weight > 0)
        if weighted:
            return weighted
    return (Target(text(entry, "Service"), 1.0),)


def _service(entry):
    engine = entry.get("Engine")
    spec = None
    if isinstance(engine, dict):
        spec = EngineSpec(
            slots=whole(engine, "Slots", 1),
            cache_tokens=whole(engine, "KvCapacityTokens", 0),
            token_bytes=number(engine, "KvTokenBytes", 0),
            link_bytes_per_s=_bytes_per_s(engine),
            models=tuple(text(m, "Name") for m in objects(engine, "Models")),
        )
    return Service(text(entry, "Name"), whole(entry, "MaxConnections", 0), spec)


def _bytes_per_s(entry):
    return number(entry, "LinkMbps", 0) * 1e6 / 8


def _customer(entry):
    priority = entry.get("Priority")
    in_tokens = entry.get("Unit") == "tokens"
    return Customer(
        name=text(entry, "Name"),
        priority=whole(entry, "Priority") if priority is not None else None,
        isolated=flag(entry, "Isolated"),
        rate=number(entry, "RatePerS", 0),
        burst=number(entry, "Burst", 0),
        plain_request_tokens=number(entry, "PlainTokens", 1) if in_tokens else 1.0,
    )


def _limits(entry):
    known = CallerLimits()
    return CallerLimits(
        header_bytes=whole(entry, "MaxHeaderBytes", known.header_bytes),
        body_bytes=whole(entry, "MaxBodyBytes", known.body_bytes),
        header_timeout_s=number(entry, "HeaderTimeoutMs", 3000) / 1000,
        idle_timeout_s=number(entry, "IdleTimeoutMs", 15000) / 1000,
    )
