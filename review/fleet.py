"""Starts the project's own programs with the commands of the deploy file."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
# The bounds of the users' page DEPLOY.md, "Settings of a process".
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "FailClosed": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 52,
    "QuotaWindowS": 8,
    "QuotaOvershoot": 0.1,
    "QuotaSlack": 140000,
    "RecoveryS": 12,
    "TransitMs": 120,
    "ReuseWindowS": 10,
    "FenceChecked": True,
    "LeaseMs": 3000,
    "ThawSlackMs": 300,
    "VersionMs": 6000,
    "VersionAllMs": 8400,
    "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2
HOST = "a.example"
API_KEY = "key-of-academy"
START_TIMEOUT_S = 20.0


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """The file ``record.txt`` of a case, with seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.started_at = time.monotonic()
        self.sent: dict[str, tuple[str, float]] = {}
        self.answered: dict[str, tuple[str, float]] = {}

    def write(self, text: str) -> None:
        """Write a line with the time."""
        elapsed_s = time.monotonic() - self.started_at
        self.file.write(f"{elapsed_s:8.3f} {text}\n")
        self.file.flush()

    def record_sent(self, attempt: str, instance: str) -> None:
        """Record that a client sends a request to an instance."""
        self.sent[attempt] = instance, time.monotonic()

    def record_answered(self, attempt: str, outcome: str) -> None:
        """Record how a request ended for its client."""
        self.answered[attempt] = outcome, time.monotonic()

    def write_requests(self, workers) -> None:
        """Write a line for each request: sent, answered, and run by which worker."""
        self.write("each request, with seconds since the start:")
        for attempt, (instance, sent_at) in self.sent.items():
            outcome, answered_at = self.answered.get(attempt, ("nothing", None))
            parts = [f"  {attempt} sent to {instance} at {self._time(sent_at)}"]
            for worker in workers:
                if attempt in worker.arrivals:
                    began, ended = (
                        worker.arrivals[attempt],
                        worker.finished.get(attempt),
                    )
                    parts.append(
                        f"run by {worker.server_id} from {self._time(began)}"
                        f" to {self._time(ended)}"
                    )
            if len(parts) == 1:
                parts.append("not run")
            parts.append(f"answered {outcome} at {self._time(answered_at)}")
            self.file.write(", ".join(parts) + "\n")
        self.file.flush()

    def _time(self, at):
        return "never" if at is None else f"{at - self.started_at:.3f}"


class Instance:
    """One process of the role `entry`, with the settings of a small deployment."""

    def __init__(self, fleet: "Fleet", number: int):
        self.fleet = fleet
        self.name = f"front-a-{number}"
        # Each machine has a loopback address, since the metrics port is fixed.
        self.ip = f"127.{fleet.network}.{number}"
        ports = free_ports(self.ip, 4)
        self.front = f"{self.ip}:{ports[0]}"
        self.readiness = f"{self.ip}:{ports[1]}"
        self.directory = f"{self.ip}:{ports[2]}"
        self.peer_port = ports[3]
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def settings(self) -> dict:
        """Return the fields of the settings file."""
        return {
            "Node": self.name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front", "directory"],
            "Ip": self.ip,
            "Zone": "a",
            "Region": "r",
            "Zones": {"a": "r"},
            "Listen": {
                "Front": self.front,
                "Ready": self.readiness,
                "Directory": self.directory,
            },
            "PortRange": [self.peer_port, self.peer_port],
            "Seeds": [],
            "Bootstrap": self.starts == 0,
            "LossCounts": False,
            "Limits": self.fleet.limits,
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "directory",
            "HeartbeatMs": round(HEARTBEAT_S * 1000),
            "Contracts": [],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self.fleet.bounds,
            "Platform": {
                "Address": self.fleet.store_address,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }

    async def start(self) -> None:
        """Start the process; it may not be ready yet."""
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.starts += 1
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CASSIAFORD_BOOT"] = str(path)
        log = open(self.fleet.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *self.fleet.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, if it still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_until_ready(self) -> None:
        """Wait until the readiness probe has a 200."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await call(self.readiness, "GET", "/readiness", timeout_s=1.0)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready after {START_TIMEOUT_S} s")

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """The instances of a case; leaving the context ends their processes."""

    def __init__(self, store_address: str, count: int, **limits):
        self.store_address = store_address
        self.network = f"{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.bounds = dict(BOUNDS)
        self.limits = {
            "CpuShare": 0.537,
            "Cores": 2,
            "MemoryMb": 300,
            "MaxFds": 4100,
            "LinkMbps": 1000.0,
            "DiskMb": 0,
            **limits,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        self.directory = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.directory.name)
        self.instances = [Instance(self, number) for number in range(1, count + 1)]

    async def __aenter__(self):
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("the build of the deploy file has not run")
        try:
            for instance in self.instances:
                await instance.start()
            for instance in self.instances:
                await instance.wait_until_ready()
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(self, *exc_info):
        await self.end()

    async def end(self) -> None:
        """Kill the processes that still run."""
        for instance in self.instances:
            if instance.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    instance.signal(signal.SIGCONT)
                    instance.signal(signal.SIGKILL)
                await instance.process.wait()
        self.directory.cleanup()


class Answer:
    """An answer as a client read it; `complete` is false if it was cut."""

    def __init__(self, status: int, headers: dict, body: bytes, complete: bool):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


_attempts = itertools.count(1)


def new_attempt() -> str:
    """Return the identifier of another attempt."""
    return f"{next(_attempts):08x}{random.getrandbits(32):08x}"


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    attempt: str | None = None,
    timeout_s: float = 10.0,
    headers: dict | None = None,
) -> Answer:
    """Send a request on a new connection and read its answer.

    Raises `OSError` or `asyncio.IncompleteReadError` if there is no whole head.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request_bytes(method, path, body, attempt, headers))
            return await read_answer(reader)
        finally:
            writer.close()


def request_bytes(method, path, body=b"", attempt=None, headers=None) -> bytes:
    """Return a request as a client sends it."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": attempt or new_attempt(),
        "X-Deadline-Ms": "10000",
        "X-Key": API_KEY,
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer; raise as `call` does."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    parts = []
    try:
        if "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                parts.append(data)
                left -= len(data)
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
        complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        complete = False
    return Answer(int(lines[0].split(" ")[1]), headers, b"".join(parts), complete)


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of a loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def route(name: str, kind: str, **fields) -> dict:
    """Return a route to the service `desk`, as operators write it."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 10000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": "desk",
        "MaxAttempts": 1 if kind == "unsafe" else 2,
        **fields,
    }


def configuration(version: int = 1, **fields) -> dict:
    """Return a configuration as operators write it."""
    return {
        "Version": version,
        "Routes": [route("book", "unsafe"), route("read", "safe")],
        "Services": [{"Name": "desk", "MaxConnections": 96}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 2000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "academy", "ApiKeys": [API_KEY]}],
        **fields,
    }


def run_case(case, path: pathlib.Path) -> None:
    """Run a case, with its record at a path, and exit.

    The exit status is 1 if the rule was broken, 0 if it held, 2 if neither.

    `case` is a coroutine function that gets the record and whether to make the
    disruption, and returns whether the rule was broken.
    """
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if trouble else 'no'}")
    try:
        broken = asyncio.run(_limited(case, record, trouble))
    except Exception as error:
        # Python's own exit status for it would say that the rule was broken.
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    record.write("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)


async def _limited(case, record, trouble):
    async with asyncio.timeout(110.0):
        return await case(record, trouble)
