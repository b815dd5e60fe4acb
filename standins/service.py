"""Stand-in for a plain service: bookings, which may not be repeated, and lookups.

``POST /control/faults`` sets any of: `delay_s` (a delay before each response),
`refuse` (the number of calls to reject without starting them), `lose_answers`
(the number of calls that run but whose connection is closed without a response).
``GET /control/runs`` and ``/control/refusals`` list started and rejected calls.
"""

import asyncio
from dataclasses import dataclass

from standins._http import (
    HttpServer,
    Request,
    Response,
    address_parser,
    json_response,
    run_server,
    set_faults,
)
from standins._records import RunRecords

NOT_STARTED = (("X-Not-Started", "true"), ("Retry-After", "1"))


@dataclass
class _Faults:
    delay_s: float = 0.0
    refuse: int = 0
    lose_answers: int = 0


class ServiceStandIn:
    """Runs and records every call, so that a test can detect duplicates."""

    def __init__(self, records: RunRecords, faults: _Faults):
        self.records = records
        self.faults = faults
        self.bookings = 0

    async def handle(self, request: Request) -> Response | None:
        """Handle one API call."""
        if request.path == "/control/runs":
            return json_response(self.records.to_json(started=True))
        if request.path == "/control/refusals":
            return json_response(self.records.to_json(started=False))
        if request.path == "/control/faults":
            return set_faults(self.faults, request.json())
        call = self._find(request)
        if call is None:
            return json_response({"error": "unknown call"}, 404)
        if self.faults.refuse > 0:
            return self._reject(request)
        return await self._run(call, request)

    def _find(self, request):
        if request.method == "POST" and request.path == "/bookings":
            return self._book
        if request.method == "GET" and request.path.startswith("/lookup/"):
            return self._look_up
        return None

    async def _run(self, call, request):
        self.records.add(request, started=True)
        response = call(request)
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.connection.abort()
            return None
        return response

    def _reject(self, request):
        self.faults.refuse -= 1
        self.records.add(request, started=False)
        return json_response({"error": "busy"}, 503, NOT_STARTED)

    def _book(self, request):
        self.bookings += 1
        return json_response({"booking": self.bookings, "body": request.json()}, 201)

    def _look_up(self, request):
        subject = request.path.removeprefix("/lookup/")
        return json_response({"subject": subject, "query": request.query})


def main() -> None:
    """Run the stand-in."""
    parser = address_parser(__doc__)
    parser.add_argument("--delay-s", type=float, default=0.0)
    parser.add_argument("--record-file", help="file to append run records to")
    arguments = parser.parse_args()
    records = RunRecords(arguments.record_file)
    stand_in = ServiceStandIn(records, _Faults(delay_s=arguments.delay_s))
    run_server(HttpServer(stand_in.handle), arguments.address)


if __name__ == "__main__":
    main()
