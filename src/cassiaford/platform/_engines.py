"""Control calls to the platform's model engines: reports and orders."""

import json

from cassiaford.gateway import (
    BackendServer,
    CallFailedError,
    EngineCallError,
    EngineControl,
    EngineReport,
    HttpClient,
    MalformedError,
    OrderResponse,
    VersionOrder,
    WrongServerError,
)
from cassiaford.platform._json import boolean, integer, parse_object
from cassiaford.platform._records import versions_of

# Engines send reports within milliseconds over any link: a report takes no slot.
TIMEOUT_S = 0.6
# A report has a row for each running request.
MAX_REPORT_BYTES = 262_144
_RESPONSES_BY_STATUS = {
    202: OrderResponse.ACCEPTED,
    200: OrderResponse.ALREADY_LOADED,
    409: OrderResponse.CONFLICT,
    412: OrderResponse.FENCED_OFF,
    400: OrderResponse.REJECTED,
}


class PlatformEngineControl(EngineControl):
    """Makes control calls to engines over HTTP."""

    def __init__(self, client: HttpClient):
        self.client = client

    async def report(self, server: BackendServer) -> EngineReport:
        """Return the engine's report."""
        reply = await self._call("GET", server, "/report")
        if reply.status != 200:
            raise EngineCallError(f"the report has status {reply.status}")
        try:
            document = parse_object(reply.body)
            # In a report, Sequence counts accepted orders, not reports.
            return EngineReport(
                versions=versions_of(document),
                busy=boolean(document, "Busy"),
                orders_accepted=integer(document, "Sequence"),
            )
        except MalformedError as error:
            raise EngineCallError(f"the report is malformed: {error}") from error

    async def order(self, server: BackendServer, order: VersionOrder) -> OrderResponse:
        """Order the engine to load a version once its requests have ended."""
        body = {
            "Op": "Version",
            "Model": order.model,
            "Version": order.version,
            "SwitchMode": "wait",
            "Holder": order.holder,
            "FencingToken": order.fencing,
            "Expected": order.orders_accepted,
        }
        data = json.dumps(body).encode()
        reply = await self._call("POST", server, "/order", data)
        response = _RESPONSES_BY_STATUS.get(reply.status)
        if response is None:
            raise EngineCallError(
                f"the response to the order has status {reply.status}"
            )
        return response

    async def _call(self, method, server, target, body=b""):
        headers = [("X-Expect-Instance", server.server_id)]
        if body:
            headers.append(("Content-Type", "application/json"))
        try:
            reply = await self.client.call(
                method, server.address, target, TIMEOUT_S, headers, body
            )
        except CallFailedError as error:
            raise EngineCallError(str(error)) from error
        if reply.status == 421:
            raise WrongServerError("another server has this address")
        return reply
