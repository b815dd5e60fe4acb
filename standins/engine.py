"""Stand-in for a model engine behind the OpenAI-compatible interface.

Its answers follow from the prompt's hash (`standins.answers`). For tests:
``GET /control/runs`` and ``/control/refusals`` list the requests it started
and refused, ``GET /control/orders`` the orders it accepted, and
``POST /control/silence`` makes all open connections go silent.
"""

import argparse
import asyncio
import os
import uuid

from cassiaford.engines import BYTES_PER_TOKEN, block_chain, prompt_text
from standins._engine_cache import EventLog, PrefixCache
from standins._engine_jobs import Job, Scheduler, Speed, Work
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
from standins.answers import answer_seed, output_limit

CRASH_STATUS = 70
NOT_STARTED = ("X-Not-Started", "true")
STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Transfer-Encoding", "chunked"),
)
ECHOED_HEADERS = ("x-request-id", "x-resume-offset")
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")


class EngineStandIn:
    """The engine's calls."""

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.incarnation = uuid.uuid4().hex[:12]
        models = dict(model.split("=", 1) for model in options.model)
        self.orders = Orders(models, options.check_fencing, options.weight_store)
        log = EventLog(options.event_lag_s, options.event_loss, options.seed)
        self.log = log
        self.cache = PrefixCache(options.cache_blocks, log)
        speed = Speed(
            options.prefill_rate,
            options.token_interval_s,
            options.slots,
            options.queue_length,
        )
        self.scheduler = Scheduler(speed, self.cache)
        self.records = RunRecords(options.record_file)
        self.jobs: dict[str, Job] = {}
        self.server = HttpServer(self.handle)
        self.reported_load = self._load()

    async def handle(self, request: Request) -> Response | None:
        """Answer one call."""
        if request.method == "POST" and request.path in COMPLETION_PATHS:
            return await self._complete(request)
        if request.method == "DELETE" and request.path.startswith("/v1/requests/"):
            return self._cancel(request.path.rsplit("/", 1)[1])
        call = self._calls().get((request.method, request.path))
        if call is None:
            return _error(404, f"no call {request.method} {request.path}")
        return call(request)

    async def report_load(self) -> None:
        """Renew the load report every now and then, so that it lags."""
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
            ("GET", "/control/runs"): lambda _: json_response(self.records.show(True)),
            ("GET", "/control/refusals"): self._refusals,
            ("GET", "/control/orders"): lambda _: json_response(self.orders.accepted),
            ("POST", "/control/silence"): self._silence,
        }

    async def _complete(self, request):
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        known = self.jobs.get(request_id)
        offset = request.headers.get("x-resume-offset")
        if offset is not None:
            if known is None or known.cancelled:
                return _error(404, "request not known", NOT_STARTED)
            return await self._answer(known, request, int(offset))
        if known is not None:
            return _error(409, "a request with this identifier has run")
        try:
            work = _work(request, request_id)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return self._refuse(request, 400, str(error))
        if not self.orders.serves(work.model):
            status = 503 if work.model in self.orders.loading else 404
            return self._refuse(request, status, f"model {work.model!r} not loaded")
        if self.scheduler.full:
            return self._refuse(request, 503, "queue full")
        return await self._answer(self._start(request, work), request, 0)

    def _start(self, request, work):
        job = Job(work)
        self.jobs[work.request_id] = job
        version = self.orders.models[work.model]
        self.records.add(request, started=True, version=version)
        marker = self.options.crash_marker
        if marker and marker.encode() in request.body:
            os._exit(CRASH_STATUS)
        self.scheduler.submit(job)
        return job

    async def _answer(self, job, request, offset):
        _keep(job)
        job.connections += 1
        try:
            if job.work.streaming:
                await _stream(job, request, offset)
                return None
            await _either(job.ended, request.connection.closed)
            if job.cancelled:
                request.connection.abort()
                return None
            return json_response(job.whole_answer(), 200, _echo(request))
        finally:
            self._release(job)

    def _release(self, job):
        """Forget a job some seconds after its last connection is gone."""
        job.connections -= 1
        if job.connections:
            return
        loop = asyncio.get_running_loop()
        job.forget_timer = loop.call_later(self.options.resume_s, self._forget, job)

    def _forget(self, job):
        self.scheduler.drop(job)
        self.jobs.pop(job.work.request_id, None)

    def _cancel(self, request_id):
        job = self.jobs.get(request_id)
        if job is None:
            return _error(404, "request not known")
        self.scheduler.drop(job)
        return Response(204)

    def _refuse(self, request, status, message):
        self.records.add(request, started=False)
        return _error(status, message, NOT_STARTED, ("Retry-After", "1"))

    def _refusals(self, request):
        return json_response(self.records.show(False))

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
        refused = self.orders.take(request.json())
        reason = refused.reason if refused else ""
        return json_response({"accepted": refused is None, "reason": reason})

    def _export(self, request):
        blocks = [int(block, 16) for block in request.json()["blocks"]]
        held = sum(1 for block in blocks if block in self.cache.blocks)
        return json_response({"blocks": held})

    def _import(self, request):
        blocks = [int(block, 16) for block in request.json()["blocks"]]
        self.cache.store(blocks)
        return json_response({"blocks": len(blocks)})

    def _silence(self, request):
        return json_response({"silenced": self.server.silence(request.connection)})


def _work(request, request_id):
    body = request.json()
    prompt = prompt_text(body)
    salt = int(request.headers.get("x-cache-salt", "0"), 16)
    stream_options = body.get("stream_options") or {}
    return Work(
        request_id=request_id,
        priority=int(request.headers.get("x-priority", "1")),
        model=body["model"],
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        chain=block_chain(salt, prompt),
        seed=answer_seed(body["model"], prompt),
        output_tokens=output_limit(body),
        chat=request.path.endswith("/chat/completions"),
        streaming=bool(body.get("stream")),
        include_usage=bool(stream_options.get("include_usage")),
    )


async def _stream(job, request, offset):
    """Send the events from an offset on, until the job or connection ends."""
    connection = request.connection
    connection.write_head(200, (*STREAM_HEADERS, *_echo(request)))
    for event in job.events[offset:]:
        connection.write_chunk(event)

    def listen(event):
        if event is not None:
            connection.write_chunk(event)

    job.listeners.append(listen)
    try:
        await _either(job.ended, connection.closed)
    finally:
        job.listeners.remove(listen)
    if job.cancelled:
        connection.abort()
    else:
        connection.write_chunk(b"")


def _echo(request):
    """Return the headers that say which request is answered, and from where."""
    return tuple(
        (name, request.headers[name])
        for name in ECHOED_HEADERS
        if name in request.headers
    )


async def _either(*events):
    """Wait until one of some events is set."""
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def _keep(job):
    if job.forget_timer:
        job.forget_timer.cancel()
        job.forget_timer = None


def _error(status, message, *headers):
    error = {"message": message, "type": "engine_error", "param": None, "code": None}
    return json_response({"error": error}, status, headers)


def _parse_options():
    parser = address_parser(__doc__)
    add = parser.add_argument
    add("--model", action="append", default=[], help="NAME=VERSION, may be repeated")
    add("--prefill-rate", type=float, default=20_000.0, help="tokens a second")
    add("--token-interval-s", type=float, default=0.02)
    add("--slots", type=int, default=32)
    add("--queue-length", type=int, default=64)
    add("--cache-blocks", type=int, default=256)
    add("--resume-s", type=float, default=5.0)
    add("--event-lag-s", type=float, default=0.05)
    add("--event-loss", type=float, default=0.0, help="share of events lost")
    add("--load-lag-s", type=float, default=0.2)
    add("--check-fencing", action="store_true")
    add("--weight-store", help="address of the weight store")
    add("--crash-marker", default="", help="text in a prompt that ends the process")
    add("--record-file", help="file that the run records are appended to")
    add("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    """Run the stand-in."""
    options = _parse_options()
    engine = EngineStandIn(options)
    run_server(engine.server, options.address, engine.report_load)


if __name__ == "__main__":
    main()
