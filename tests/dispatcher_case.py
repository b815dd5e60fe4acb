"""A test case with a dispatcher and fake backend servers."""

import random
import threading
import time
import unittest

from cassiaford.config import COMMON_SOFTWARE, BackendServer, Configuration, ServerKind
from cassiaford.logs import Event
from cassiaford.pipeline import create_dispatcher
from cassiaford.policy import Placement, PlacementPolicy
from cassiaford.settings import LimitSettings
from cassiaford.timeline import HybridClock, Journal
from tests.fakes import HANG_TIMEOUT_S, Caller, FakeServer


class FirstFreeServer(PlacementPolicy):
    """Chooses the first server below its slot limit, suspected servers last."""

    def __init__(self):
        self.finished_ids = []

    def place(self, request, servers, now, rng):
        free_servers = [s for s in servers if s.in_flight < s.slots]
        free_servers.sort(key=lambda server: server.suspected)
        return Placement(free_servers[0].name) if free_servers else None

    def record_end(self, request_id, now):
        self.finished_ids.append(request_id)


class DispatcherSetup:
    """A dispatcher with fake servers, and the outcomes that it reports."""

    def __init__(
        self,
        *addresses,
        slots=32,
        credential="",
        queue=None,
        versions=None,
        suspects=None,
        software_versions=(),
        **limits,
    ):
        servers = {}
        software_versions = software_versions or (COMMON_SOFTWARE,) * len(addresses)
        for number, address in enumerate(addresses):
            for kind in ServerKind:
                server = BackendServer(
                    name=f"{kind.value}-{number}",
                    address=address,
                    data_centre="cluj",
                    kind=kind,
                    models=("tare",),
                    group="shop",
                    slots=slots,
                    software_version=software_versions[number],
                )
                servers[server.name] = server
        self.configuration = Configuration(revision=1, servers=servers)
        self.journal = Journal(
            "entry-1", 1, HybridClock(time.time), write=lambda *_: None
        )
        self.outcomes = _OutcomeCollector()
        self.placement = FirstFreeServer()
        limits = {"silence_timeout_s": 0.4, "connect_timeout_s": 0.5, **limits}
        self.dispatcher = create_dispatcher(
            LimitSettings(**limits),
            lambda: self.configuration,
            self.placement,
            self.journal,
            random.Random(1),
            credential=credential,
            queue=queue,
            versions=versions,
            suspects=suspects,
        )
        self.dispatcher.start()
        self.on_finished = self.outcomes.add

    def submit(self, request, caller=None):
        """Submit a request and return the fake caller."""
        caller = caller or Caller()
        self.dispatcher.submit(request, caller.dispatcher_socket, self.on_finished)
        return caller

    def ask(self, request):
        """Submit a request and return its response and its outcome."""
        response = self.submit(request).read_response()
        return response, self.outcomes.get(request.request_id)

    def close(self):
        """Stop the dispatcher."""
        self.dispatcher.stop(HANG_TIMEOUT_S)


class _OutcomeCollector:
    """Collects outcomes, and the requests that have more than one."""

    def __init__(self):
        self.by_request_id = {}
        self.duplicates = []
        self.changed = threading.Condition()

    def add(self, request, outcome):
        with self.changed:
            if request.request_id in self.by_request_id:
                self.duplicates.append(request.request_id)
            self.by_request_id[request.request_id] = outcome
            self.changed.notify_all()

    def get(self, request_id):
        with self.changed:
            if not self.changed.wait_for(
                lambda: request_id in self.by_request_id, HANG_TIMEOUT_S
            ):
                raise AssertionError(f"{request_id} has no outcome")
            return self.by_request_id[request_id]


class DispatcherCase(unittest.TestCase):
    """A test with fake servers and a dispatcher.

    After each test it is checked that no request is left in flight, that none
    has two outcomes, and that no thread has failed.
    """

    def serve(self, *scripts):
        """Return a fake server that is closed after the test."""
        server = FakeServer(*scripts)
        self.addCleanup(server.close)
        return server

    def dispatch(self, *servers, **options):
        """Return a running dispatcher for fake servers or addresses."""
        addresses = [getattr(server, "address", server) for server in servers]
        setup = DispatcherSetup(*addresses, **options)
        self.addCleanup(self._check_and_close, setup)
        return setup

    def _check_and_close(self, setup):
        setup.close()
        self.assertEqual(setup.outcomes.duplicates, [])
        self.assertEqual(setup.dispatcher.in_flight, 0)
        self.assertEqual(setup.dispatcher.health.in_flight, {})
        faults = [
            r
            for r in setup.journal.snapshot()
            if r.event is Event.BACKGROUND_TASK_FAILED
        ]
        self.assertEqual(faults, [])
