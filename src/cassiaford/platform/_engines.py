"""Reports of model engines, and orders to them."""

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
from cassiaford.platform._json import flag, parse_object, whole
from cassiaford.platform._records import versions_of

# A report needs no slot and comes within milliseconds, over any link.
TIME_OUT_S = 0.6
_ANSWERS = {
    202: OrderResponse.ACCEPTED,
    200: OrderResponse.ALREADY_LOADED,
    409: OrderResponse.CONFLICT,
    412: OrderResponse.FENCED_OFF,
    400: OrderResponse.REJECTED,
}


class PlatformEngineControl(EngineControl):
    """Calls engines over HTTP."""

    def __init__(self, caller: HttpClient):
        self.caller = caller

    async def report(self, server: BackendServer) -> EngineReport:
        """Return an engine's report."""
        reply = await self._call("GET", server, "/report")
        if reply.status != 200:
            raise EngineCallError(f"the report has status {reply.status}")
        try:
            document = parse_object(reply.body)
            # The field Sequence of a report counts orders, not reports.
            return EngineReport(
                versions=versions_of(document),
                busy=flag(document, "Busy"),
                orders_accepted=whole(document, "Sequence"),
            )
        except MalformedError as error:
            raise EngineCallError(f"the report is {error}") from error

    async def order(self, server: BackendServer, order: VersionOrder) -> OrderResponse:
        """Order an engine to load a version once its requests have ended."""
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
        answer = _ANSWERS.get(reply.status)
        if answer is None:
            raise EngineCallError(f"the order was answered {reply.status}")
        return answer

    async def _call(self, method, server, target, body=b""):
        headers = [("X-Expect-Instance", server.server_id)]
        if body:
            headers.append(("Content-Type", "application/json"))
        try:
            reply = await self.caller.call(
                method, server.address, target, TIME_OUT_S, headers, body
            )
        except CallFailedError as error:
            raise EngineCallError(str(error)) from error
        if reply.status == 421:
            raise WrongServerError("another server has the address")
        return reply
