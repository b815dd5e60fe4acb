"""Stand-in for a model engine with an OpenAI-compatible API.

Its completions are derived from a hash of the prompt (`standins.answers`).
For tests, ``GET /control/runs`` and ``/control/refusals`` list the requests
that it started and rejected, ``GET /control/orders`` lists the accepted orders,
and ``POST /control/silence`` makes all other open connections go silent.
"""

import argparse
import asyncio
import os
import uuid

from cassiaford.engines import BYTES_PER_TOKEN, block_chain, prompt_text
from standins._engine_cache import EventLog, PrefixCache
from standins._engine_jobs import EngineCapacity, Job, JobSpec, Scheduler
from standins._engine_orders import Orders
from standins._http import (
    HttpServer,
    Request,
    Response,
    address_parser,
    json_response,
    run_server,
)
from standins._records import RunRecords
from standins.answers import completion_seed, output_limit

CRASH_STATUS = 70
NOT_STARTED = ("X-Not-Started", "true")
STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Transfer-Encoding", "chunked"),
)
ECHOED_HEADERS = ("x-request-id", "x-resume-offset")
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")


class EngineStandIn:
    """The handlers of the engine's API calls."""

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.incarnation = uuid.uuid4().hex[:12]
        models = dict(model.split("=", 1) for model in options.model)
        self.orders = Orders(models, options.check_fencing, options.weight_store)
        log = EventLog(options.event_lag_s, options.event_loss, options.seed)
        self.log = log
        self.cache = PrefixCache(options.cache_blocks, log)
        capacity = EngineCapacity(
            options.prefill_rate,
            options.token_interval_s,
            options.slots,
            options.queue_length,
        )
        self.scheduler = Scheduler(capacity, self.cache)
        self.records = RunRecords(options.record_file)
        self.jobs: dict[str, Job] = {}
        self.server = HttpServer(self.handle)
        self.reported_load = self._load()

    async def handle(self, request: Request) -> Response | None:
        """Handle one API call."""
        if request.method == "POST" and request.path in COMPLETION_PATHS:
            return await self._complete(request)
        if request.method == "DELETE" and request.path.startswith("/v1/requests/"):
            return self._cancel(request.path.rsplit("/", 1)[1])
        call = self._calls().get((request.method, request.path))
        if call is None:
            return _error(404, f"no call {request.method} {request.path}")
        return call(request)

    async def report_load(self) -> None:
        """Refresh the reported load at an interval, so that it lags behind."""
        while True:
            self.reported_load = self._load()
            await asyncio.sleep(self.options.load_lag_s)

    def _calls(self):
        return {
            ("GET", "/v1/models"): self._models,
            ("GET", "/v1/load"): lambda _: json_response(self.reported_load),
            ("GET", "/v1/cache/events"): self._cache_events,
            ("POST", "/v1/orders"): self._order,
            ("POST", "/v1/cache/export"): self._export,
            ("POST", "/v1/cache/import"): self._import,
            ("GET", "/control/runs"): lambda _: json_response(
                self.records.to_json(True)
            ),
            ("GET", "/control/refusals"): self._rejections,
            ("GET", "/control/orders"): lambda _: json_response(self.orders.accepted),
            ("POST", "/control/silence"): self._silence,
        }

    async def _complete(self, request):
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        existing = self.jobs.get(request_id)
        offset = request.headers.get("x-resume-offset")
        if offset is not None:
            if existing is None or existing.cancelled:
                return _error(404, "unknown request", NOT_STARTED)
            return await self._respond(existing, request, int(offset))
        if existing is not None:
            return _error(409, "a request with this identifier was already started")
        try:
            spec = _job_spec(request, request_id, self.options.software_version)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return self._reject(request, 400, str(error))
        if not self.orders.serves(spec.model):
            status = 503 if spec.model in self.orders.loading else 404
            return self._reject(request, status, f"model {spec.model!r} not loaded")
        if self.scheduler.full:
            return self._reject(request, 503, "queue full")
        return await self._respond(self._start(request, spec), request, 0)

    def _start(self, request, spec):
        job = Job(spec)
        self.jobs[spec.request_id] = job
        version = self.orders.models[spec.model]
        self.records.add(request, started=True, version=version)
        marker = self.options.crash_marker
        if marker and marker.encode() in request.body:
            os._exit(CRASH_STATUS)
        self.scheduler.submit(job)
        return job

    async def _respond(self, job, request, offset):
        _cancel_removal(job)
        job.connections += 1
        try:
            if job.spec.streaming:
                await _stream(job, request, offset)
                return None
            await _wait_for_any(job.ended, request.connection.closed)
            if job.cancelled:
                request.connection.abort()
                return None
            return json_response(job.full_response(), 200, _echoed_headers(request))
        finally:
            self._end_connection(job)

    def _end_connection(self, job):
        """Schedule the removal of a job when its last connection ends."""
        job.connections -= 1
        if job.connections:
            return
        loop = asyncio.get_running_loop()
        job.removal_timer = loop.call_later(self.options.resume_s, self._remove, job)

    def _remove(self, job):
        self.scheduler.cancel(job)
        self.jobs.pop(job.spec.request_id, None)

    def _cancel(self, request_id):
        job = self.jobs.get(request_id)
        if job is None:
            return _error(404, "unknown request")
        self.scheduler.cancel(job)
        return Response(204)

    def _reject(self, request, status, message):
        self.records.add(request, started=False)
        return _error(status, message, NOT_STARTED, ("Retry-After", "1"))

    def _rejections(self, request):
        return json_response(self.records.to_json(False))

    def _models(self, request):
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "stand-in"}
            for name in sorted(self.orders.models)
        ]
        return json_response({"object": "list", "data": models})

    def _load(self):
        return {
            "incarnation": self.incarnation,
            "running": len(self.scheduler.running),
            "waiting": len(self.scheduler.waiting),
            "queued_tokens": self.scheduler.queued_tokens(),
            "models": dict(self.orders.models),
            "role": self.orders.role,
        }

    def _cache_events(self, request):
        events = self.log.after(int(request.query.get("after", 0)))
        return json_response({"incarnation": self.incarnation} | events)

    def _order(self, request):
        rejection = self.orders.accept(request.json())
        reason = rejection.reason if rejection else ""
        return json_response({"accepted": rejection is None, "reason": reason})

    def _export(self, request):
        blocks = [int(block, 16) for block in request.json()["blocks"]]
        cached = sum(1 for block in blocks if block in self.cache.blocks)
        return json_response({"blocks": cached})

    def _import(self, request):
        blocks = [int(block, 16) for block in request.json()["blocks"]]
        self.cache.store(blocks)
        return json_response({"blocks": len(blocks)})

    def _silence(self, request):
        return json_response({"silenced": self.server.silence(request.connection)})


def _job_spec(request, request_id, software_version):
    body = request.json()
    prompt = prompt_text(body)
    salt = int(request.headers.get("x-cache-salt", "0"), 16)
    stream_options = body.get("stream_options") or {}
    return JobSpec(
        request_id=request_id,
        priority=int(request.headers.get("x-priority", "1")),
        model=body["model"],
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        chain=block_chain(salt, prompt),
        seed=completion_seed(body["model"], prompt),
        output_tokens=output_limit(body),
        chat=request.path.endswith("/chat/completions"),
        streaming=bool(body.get("stream")),
        include_usage=bool(stream_options.get("include_usage")),
        software_version=software_version,
    )


async def _stream(job, request, offset):
    """Send the events from an offset until the job or the connection ends."""
    connection = request.connection
    connection.write_head(200, (*STREAM_HEADERS, *_echoed_headers(request)))
    for event in job.events[offset:]:
        connection.write_chunk(event)

    def on_event(event):
        if event is not None:
            connection.write_chunk(event)

    job.listeners.append(on_event)
    try:
        await _wait_for_any(job.ended, connection.closed)
    finally:
        job.listeners.remove(on_event)
    if job.cancelled:
        connection.abort()
    else:
        connection.write_chunk(b"")


def _echoed_headers(request):
    """Return the request's identifier and resume offset as response headers."""
    return tuple(
        (name, request.headers[name])
        for name in ECHOED_HEADERS
        if name in request.headers
    )


async def _wait_for_any(*events):
    """Wait until at least one of the events is set."""
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def _cancel_removal(job):
    if job.removal_timer:
        job.removal_timer.cancel()
        job.removal_timer = None


def _error(status, message, *headers):
    error = {"message": message, "type": "engine_error", "param": None, "code": None}
    return json_response({"error": error}, status, headers)


def _parse_options():
    parser = address_parser(__doc__)
    add = parser.add_argument
    add("--model", action="append", default=[], help="NAME=VERSION, may be repeated")
    add("--prefill-rate", type=float, default=20_000.0, help="tokens per second")
    add("--token-interval-s", type=float, default=0.02)
    add("--slots", type=int, default=32)
    add("--queue-length", type=int, default=64)
    add("--cache-blocks", type=int, default=256)
    add("--resume-s", type=float, default=5.0)
    add("--event-lag-s", type=float, default=0.05)
    add("--event-loss", type=float, default=0.0, help="fraction of events lost")
    add("--load-lag-s", type=float, default=0.2)
    add("--check-fencing", action="store_true")
    add("--weight-store", help="address of the weight store")
    add("--software-version", default="v1")
    add("--crash-marker", default="", help="text in a request that crashes the process")
    add("--record-file", help="file to append run records to")
    add("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    """Run the stand-in."""
    options = _parse_options()
    engine = EngineStandIn(options)
    run_server(engine.server, options.address, engine.report_load)


if __name__ == "__main__":
    main()
