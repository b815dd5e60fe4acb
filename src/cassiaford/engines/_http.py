"""The control calls to model engines over HTTP.

docs/INTERFACES.md has the formats.
"""

from urllib.parse import quote

from cassiaford._json_calls import CallError, JsonClient, ResponseLostError
from cassiaford.engines._protocol import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineControl,
    EngineError,
    LoadReport,
    Order,
    OrderResponse,
)

# The status of an engine's response to the cancellation of an unknown request.
NOT_FOUND = 404
# The longest responses are cache events, some hundred bytes each.
MAX_REPORT_BYTES = 4_194_304


def create_engine_control(timeout_s: float) -> EngineControl:
    """Return a control client whose calls time out after `timeout_s`."""
    return HttpEngineControl(JsonClient(timeout_s, MAX_REPORT_BYTES))


class HttpEngineControl(EngineControl):
    """The control calls to engines over their HTTP interface."""

    def __init__(self, client: JsonClient):
        self.client = client

    def load(self, address: str) -> LoadReport:
        """Return the engine's load report."""
        return self._call("GET", address, "/v1/load", None, _load_report)

    def cache_events(self, address: str, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        target = f"/v1/cache/events?after={after}"
        return self._call("GET", address, target, None, _cache_events)

    def order(self, address: str, order: Order) -> OrderResponse:
        """Send the engine an order and return its response."""
        body = {
            "order_id": order.order_id,
            "fencing": order.fencing,
            "action": order.action.value,
            "model": order.model,
            "version": order.version,
            "role": order.role,
        }
        return self._call("POST", address, "/v1/orders", body, _order_response)

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a running request; ignore one that the engine does not have."""
        target = f"/v1/requests/{quote(request_id, safe='')}"
        self._call("DELETE", address, target, None, _no_result, (NOT_FOUND,))

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.client.close()

    def _call(self, method, address, target, body, decode, also_accepted=()):
        try:
            response = self.client.call(method, address, target, body)
            if (
                not 200 <= response.status < 300
                and response.status not in also_accepted
            ):
                raise ResponseLostError(
                    f"{address} responded with status {response.status}"
                )
            return decode(response)
        except CallError as error:
            raise EngineError(f"{method} {target}: {error}") from error
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            message = f"invalid response of {address} to {target}: {error!r}"
            raise EngineError(message) from error


def _load_report(response):
    document = response.json()
    return LoadReport(
        incarnation=str(document["incarnation"]),
        running=int(document["running"]),
        waiting=int(document["waiting"]),
        queued_tokens=int(document["queued_tokens"]),
        models=tuple(sorted(document["models"].items())),
    )


def _cache_events(response):
    document = response.json()
    return CacheEvents(
        incarnation=str(document["incarnation"]),
        events=tuple(_cache_event(event) for event in document["events"]),
        next_sequence=int(document["next_sequence"]),
        gap=bool(document["gap"]),
    )


def _cache_event(document):
    kind = CacheEventKind(document["kind"])
    return CacheEvent(int(document["sequence"]), kind, int(document["block"], 16))


def _order_response(response):
    document = response.json()
    return OrderResponse(bool(document["accepted"]), str(document["reason"]))


def _no_result(response):
    return None
