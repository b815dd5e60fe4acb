"""A process that runs the dispatcher and its relay behind a listening socket."""

import itertools
import json
import random
import socket
import sys
import threading
import time

from cassiaford.config import BackendServer, Configuration, Customer, Model
from cassiaford.engines import cache_scope
from cassiaford.pipeline import create_dispatcher
from cassiaford.pipeline._messages import (
    AdmittedRequest,
    AuthenticatedRequest,
    CallerRequest,
    ModelCall,
    ServiceClass,
)
from cassiaford.policy import Placement, PlacementPolicy
from cassiaford.settings import LimitSettings
from cassiaford.timeline import HybridClock, Journal

MODEL = Model("tare", "v1")
CUSTOMER = Customer("academy", rate=1e6, burst=1e6, models=("tare",))
PATH = "/v1/completions"


class LeastLoad(PlacementPolicy):
    """Chooses the server with the fewest requests in flight."""

    def place(self, request, servers, now, rng):
        """Return the least loaded server."""
        return Placement(min(servers, key=lambda server: server.in_flight).name)


def admitted_request(number, body):
    """Return a request in the form in which it reaches the dispatcher."""
    document = json.loads(body)
    scope = cache_scope("academy", "tare", "v1")
    call = ModelCall(MODEL, document, True, 5, 150, scope, ())
    now = time.monotonic()
    caller = CallerRequest(f"r{number}", now, "POST", PATH, PATH, (), body)
    return AdmittedRequest(
        AuthenticatedRequest(caller, CUSTOMER, 1, model_path=PATH),
        ServiceClass.STANDARD,
        repeatable=True,
        deadline=now + 10.0,
        charged_tokens=155,
        call=call,
    )


def read_body(sock):
    """Return the body of the request on a socket."""
    data = sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    while len(body) < length:
        body += sock.recv(65536)
    return body


def accept_requests(listener, dispatcher):
    """Submit every accepted request to the dispatcher."""
    for number in itertools.count():
        sock, _ = listener.accept()
        request = admitted_request(number, read_body(sock))
        dispatcher.submit(request, sock, lambda *_: None)


def main(engine_address):
    """Print the port, then serve until standard input ends."""
    server = BackendServer("engine-1", engine_address, "cluj", models=("tare",))
    configuration = Configuration(revision=1, servers={server.name: server})
    journal = Journal("entry-1", 1, HybridClock(time.time))
    dispatcher = create_dispatcher(
        LimitSettings(queue_length=512),
        lambda: configuration,
        LeastLoad(),
        journal,
        random.Random(1),
    )
    dispatcher.start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    threading.Thread(
        target=accept_requests, args=(listener, dispatcher), daemon=True
    ).start()
    print(listener.getsockname()[1], flush=True)
    sys.stdin.read()
    dispatcher.stop(5.0)


if __name__ == "__main__":
    main(sys.argv[1])
