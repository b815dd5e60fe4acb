"""The endpoints that an instance serves itself, without a backend server."""

import hmac
import json
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from cassiaford.config import Configuration
from cassiaford.fleet import Member
from cassiaford.metrics import Metrics
from cassiaford.pipeline import AuthenticateFilter, CallerRequest, Header
from cassiaford.timeline import Journal, record_document, to_gathered_record
from cassiaford.verdict import Refusal, RefusalReason, refuse

JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
OPERATOR_PREFIX = "/cassiaford/v1/"


@dataclass(frozen=True)
class LocalResponse:
    """A response that the instance creates itself."""

    status: int
    body: bytes = field(repr=False)
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True)
class Query:
    """The query parameters of a local request."""

    customer: str = ""
    data_centre: str = ""
    request: str = ""
    since: float = 0.0


class InstanceView(ABC):
    """The state of the instance that the local endpoints report."""

    @property
    @abstractmethod
    def configuration(self) -> Configuration:
        """The current configuration."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether the instance accepts requests."""

    @property
    @abstractmethod
    def draining(self) -> bool:
        """Whether a graceful shutdown was started."""

    @property
    @abstractmethod
    def in_flight(self) -> int:
        """The number of accepted requests that have not ended."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return the live members of the fleet."""

    @abstractmethod
    def entries(self, customer: str, data_centre: str) -> tuple[Member, ...]:
        """Return the entry instances for a customer, best first."""


class LocalEndpoints:
    """Serves health, metrics, models, entry lookup, status and time line."""

    def __init__(
        self,
        view: InstanceView,
        authenticate: AuthenticateFilter,
        metrics: Metrics,
        journal: Journal,
        token: str,
        max_age_s: float,
    ):
        self.view = view
        self.authenticate = authenticate
        self.metrics = metrics
        self.journal = journal
        self.token = token
        self.max_age_s = max_age_s
        self.open_paths = {
            "/healthz": self._health,
            "/readyz": self._readiness,
            "/metrics": self._metrics_text,
            OPERATOR_PREFIX + "entries": self._entries,
        }
        self.operator_paths = {
            OPERATOR_PREFIX + "status": self._status,
            OPERATOR_PREFIX + "timeline": self._timeline,
        }

    def respond(self, caller: CallerRequest) -> LocalResponse | Refusal | None:
        """Return the response, or None if the path is not a local one."""
        path = caller.path
        if path == "/v1/models" or path.startswith("/v1/models/"):
            return self._method_refusal(caller) or self._models(caller)
        if path in self.open_paths:
            return self._method_refusal(caller) or self._call_endpoint(
                self.open_paths[path], caller
            )
        if path in self.operator_paths:
            refusal = self._method_refusal(caller) or self._operator_refusal(caller)
            return refusal or self._call_endpoint(self.operator_paths[path], caller)
        if path.startswith(OPERATOR_PREFIX):
            return refuse(RefusalReason.UNKNOWN_ROUTE, f"no such path: {path[:200]}")
        return None

    def _call_endpoint(self, endpoint, caller):
        try:
            query = _parse_query(caller.target)
        except ValueError as error:
            return refuse(RefusalReason.BAD_REQUEST, str(error))
        return endpoint(query)

    def _method_refusal(self, caller):
        if caller.method in ("GET", "HEAD"):
            return None
        return refuse(RefusalReason.METHOD_NOT_ALLOWED, "only GET is allowed here")

    def _operator_refusal(self, caller):
        expected = self.token.encode("utf-8")
        given = caller.key.encode("utf-8", "surrogateescape")
        if hmac.compare_digest(expected, given):
            return None
        return refuse(RefusalReason.INVALID_KEY, "the operator's token is required")

    def _health(self, query):
        return _json_response({"status": "ok"})

    def _readiness(self, query):
        ready = self.view.ready and not self.view.draining
        state = {"ready": ready, "draining": self.view.draining}
        return _json_response(state, 200 if ready else 503)

    def _metrics_text(self, query):
        self.metrics.set_gauge("cassiaford_requests_in_flight", self.view.in_flight)
        self.metrics.set_gauge(
            "cassiaford_configuration_revision", self.view.configuration.revision
        )
        body = self.metrics.render().encode()
        return LocalResponse(200, body, (Header("Content-Type", METRICS_TYPE),))

    def _entries(self, query):
        members = self.view.entries(query.customer, query.data_centre)
        document = {
            "entries": [_member_fields(member) for member in members],
            "max_age_s": self.max_age_s,
            "revision": self.view.configuration.revision,
        }
        cache_control = Header("Cache-Control", f"max-age={int(self.max_age_s)}")
        return _json_response(document, headers=(cache_control,))

    def _status(self, query):
        return _json_response(
            {
                "instance": self.journal.instance,
                "incarnation": self.journal.incarnation,
                "revision": self.view.configuration.revision,
                "ready": self.view.ready,
                "draining": self.view.draining,
                "in_flight": self.view.in_flight,
                "members": [_member_fields(m) for m in self.view.members()],
            }
        )

    def _timeline(self, query):
        records = [
            record_document(to_gathered_record(record))
            for record in self.journal.snapshot()
            if _matches(record, query)
        ]
        return _json_response({"instance": self.journal.instance, "records": records})

    def _models(self, caller):
        customer = self.authenticate.find_customer(caller, self.view.configuration)
        if isinstance(customer, Refusal):
            return customer
        configured = self.view.configuration.models
        names = [name for name in customer.models if name in configured]
        requested = caller.path.removeprefix("/v1/models").strip("/")
        if not requested:
            listing = [_model_fields(name) for name in names]
            return _json_response({"object": "list", "data": listing})
        if requested in names:
            return _json_response(_model_fields(requested))
        return refuse(
            RefusalReason.UNKNOWN_MODEL, f"no model named {requested[:100]!r}"
        )


def _matches(record, query):
    return (
        record.timestamp.wall_ms >= query.since * 1000
        and query.request in ("", record.subject.request_id)
        and query.customer in ("", record.subject.customer)
    )


def _parse_query(target):
    values = parse_qs(urlsplit(target).query, max_num_fields=16)
    parameters = {name: values[name][-1] for name in values}
    unknown = sorted(set(parameters) - {"customer", "data_centre", "request", "since"})
    if unknown:
        raise ValueError(f"unknown parameter {unknown[0][:50]!r}")
    since = parameters.pop("since", "0")
    try:
        return Query(since=float(since), **parameters)
    except ValueError:
        raise ValueError("'since' must be a number of seconds") from None


def _member_fields(member):
    return {
        "instance": member.instance,
        "incarnation": member.incarnation,
        "data_centre": member.data_centre,
        "http_address": member.http_address,
        "leaving": member.leaving,
        "revision": member.revision,
    }


def _model_fields(name):
    return {"id": name, "object": "model", "created": 0, "owned_by": "cassiaford"}


def _json_response(document, status=200, headers=()):
    content_type = Header("Content-Type", JSON_TYPE)
    return LocalResponse(
        status, json.dumps(document).encode(), (content_type, *headers)
    )
