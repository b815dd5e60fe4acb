"""Stand-in for the platform's instance list, which shows changes after a lag.

``POST /control/faults`` with `down` makes it respond 503 to every call.
"""

import asyncio

from standins._http import (
    HttpServer,
    Request,
    Response,
    address_parser,
    json_response,
    run_server,
)

PREFIX = "/v1/instances/"


class InstanceListStandIn:
    """An instance list that shows each change after `lag_s` seconds."""

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self.records = {}
        self.down = False

    async def handle(self, request: Request) -> Response | None:
        """Handle one API call."""
        if request.path == "/control/faults":
            self.down = bool(request.json()["down"])
            return json_response({"down": self.down})
        if self.down:
            return json_response({"error": "unavailable"}, 503)
        if request.method == "GET" and request.path == PREFIX.rstrip("/"):
            return json_response({"instances": list(self.records.values())})
        name = request.path.removeprefix(PREFIX)
        if request.method == "PUT":
            self._apply_after_lag(self.records.__setitem__, name, request.json())
            return Response(204)
        if request.method == "DELETE":
            self._apply_after_lag(self.records.pop, name, None)
            return Response(204)
        return json_response({"error": "unknown call"}, 404)

    def _apply_after_lag(self, change, *arguments):
        asyncio.get_running_loop().call_later(self.lag_s, change, *arguments)


def main() -> None:
    """Run the stand-in."""
    parser = address_parser(__doc__)
    parser.add_argument("--lag-s", type=float, default=2.0)
    arguments = parser.parse_args()
    stand_in = InstanceListStandIn(arguments.lag_s)
    run_server(HttpServer(stand_in.handle), arguments.address)


if __name__ == "__main__":
    main()
