"""Stand-in for the rate-limited weight store.

A load takes `--load-s` seconds while at most `--at-once` loads run. If more
run, they share the same total rate and all take longer.
"""

import asyncio
from dataclasses import asdict, dataclass

from standins._http import (
    HttpServer,
    Request,
    Response,
    address_parser,
    json_response,
    run_server,
)

UPDATE_INTERVAL_S = 0.01


@dataclass
class _Counts:
    loads: int = 0
    active: int = 0
    most_at_once: int = 0


class WeightStoreStandIn:
    """Responds to each load after the time that the rate limit implies."""

    def __init__(self, load_s: float, max_concurrent: int):
        self.load_s = load_s
        self.max_concurrent = max_concurrent
        self.counts = _Counts()

    async def handle(self, request: Request) -> Response | None:
        """Handle one API call."""
        if request.path == "/control/counts":
            return json_response(asdict(self.counts))
        if not request.path.startswith("/v1/weights/"):
            return json_response({"error": "unknown call"}, 404)
        self.counts.loads += 1
        self.counts.active += 1
        self.counts.most_at_once = max(self.counts.most_at_once, self.counts.active)
        try:
            await self._transfer()
        finally:
            self.counts.active -= 1
        return json_response({"weights": request.path.removeprefix("/v1/weights/")})

    async def _transfer(self):
        loop = asyncio.get_running_loop()
        remaining_s, last = self.load_s, loop.time()
        while remaining_s > 0:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            now = loop.time()
            remaining_s -= (now - last) * min(
                1.0, self.max_concurrent / self.counts.active
            )
            last = now


def main() -> None:
    """Run the stand-in."""
    parser = address_parser(__doc__)
    parser.add_argument("--load-s", type=float, default=0.3)
    parser.add_argument("--at-once", type=int, default=3)
    arguments = parser.parse_args()
    store = WeightStoreStandIn(arguments.load_s, arguments.at_once)
    run_server(HttpServer(store.handle), arguments.address)


if __name__ == "__main__":
    main()
