"""The orders that the engine stand-in accepts, and the weight loads they start."""

import asyncio
from dataclasses import dataclass

import httptools


@dataclass(frozen=True)
class Rejection:
    """The reason for which an order was not accepted."""

    reason: str


class Orders:
    """Accepts and runs orders; checking their fencing numbers is optional."""

    def __init__(
        self, models: dict[str, str], checks_fencing: bool, weight_store: str | None
    ):
        self.models = models
        self.checks_fencing = checks_fencing
        self.weight_store = weight_store
        self.role = "general"
        self.highest_fencing = 0
        self.accepted: list[dict] = []
        self.loading: set[str] = set()
        self.tasks: set[asyncio.Task] = set()

    def accept(self, order: dict) -> Rejection | None:
        """Accept an order or return why not; ignore one that was accepted before."""
        if any(earlier["order_id"] == order["order_id"] for earlier in self.accepted):
            return None
        if self.checks_fencing and order["fencing"] < self.highest_fencing:
            return Rejection(f"fencing number below {self.highest_fencing}")
        self.highest_fencing = max(self.highest_fencing, order["fencing"])
        self.accepted.append(order)
        self._start(order)
        return None

    def serves(self, model: str) -> bool:
        """Return whether requests for a model can start now."""
        return model in self.models and model not in self.loading

    def _start(self, order):
        if order["action"] == "change_role":
            self.role = order["role"]
            return
        task = asyncio.get_running_loop().create_task(self._load(order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _load(self, order):
        model, version = order["model"], order["version"]
        self.loading.add(model)
        try:
            if self.weight_store:
                await _fetch(self.weight_store, f"/v1/weights/{model}/{version}")
            self.models[model] = version
        finally:
            self.loading.discard(model)


class _CompletionCallbacks:
    """Parser callbacks that record whether the response is complete."""

    def __init__(self):
        self.complete = False

    def on_message_complete(self):
        self.complete = True


async def _fetch(address, target):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
    callbacks = _CompletionCallbacks()
    parser = httptools.HttpResponseParser(callbacks)
    while not callbacks.complete:
        data = await reader.read(65536)
        if not data:
            raise ConnectionError(f"{address} closed the connection")
        parser.feed_data(data)
    writer.close()
    if parser.get_status_code() != 200:
        raise ConnectionError(
            f"{address} responded with status {parser.get_status_code()}"
        )
