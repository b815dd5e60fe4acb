"""Reporting to the fleet which requests were running when servers crashed."""

import threading

from cassiaford.engines import CacheEvents, EngineObserver, LoadReport
from cassiaford.fleet import SuspectRegistry
from cassiaford.instance._fingerprint import fingerprint
from cassiaford.pipeline import AdmittedRequest, SuspectPolicy
from cassiaford.policy import servers_for_suspects
from cassiaford.verdict import Refusal, RefusalReason, Verdict


class CrashMonitor(SuspectPolicy, EngineObserver):
    """Names the requests that were running on a server when it crashed.

    It stands between the poller and the dispatcher to learn the incarnations
    of the engines, by which instances recognise the same crash.
    """

    def __init__(self, registry: SuspectRegistry):
        self.registry = registry
        self.observer: EngineObserver | None = None
        self.incarnations: dict[str, str] = {}
        self.running: dict[str, set[str]] = {}
        self._lock = threading.Lock()

    def refusal(self, request: AdmittedRequest) -> Refusal | None:
        """Return a refusal if a request has crashed too many servers."""
        if not self.registry.has_suspects():
            return None
        if not self.registry.is_refused(fingerprint(request)):
            return None
        return Refusal(
            RefusalReason.CRASHES_SERVERS,
            Verdict.MAY_HAVE_RUN,
            "backend servers crashed while they ran this request; it is not run again",
        )

    def record_crash(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a server's connection broke while it ran a request."""
        # Reported at once, since the next attempt may follow within
        # milliseconds; reports of one incarnation's crash add up.
        self.registry.record_crash(
            server, (fingerprint(request),), self.incarnations.get(server, "")
        )

    def record_completion(self, request: AdmittedRequest) -> None:
        """Clear a request that has run to its end."""
        if self.registry.has_suspects():
            self.registry.record_completion(fingerprint(request))

    def servers_to_avoid(
        self, request: AdmittedRequest, servers: tuple[str, ...]
    ) -> frozenset[str]:
        """Return the servers with another suspect, and those left to peers."""
        name = self._suspect_name(request)
        if not name:
            return frozenset()
        with self._lock:
            occupied = {s for s, names in self.running.items() if names - {name}}
        instances = self.registry.instances()
        own = servers_for_suspects(servers, instances, self.registry.instance)
        return frozenset(servers) - (own - occupied)

    def record_start(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a request was sent to a server."""
        name = self._suspect_name(request)
        if name:
            with self._lock:
                self.running.setdefault(server, set()).add(name)

    def record_end(self, request: AdmittedRequest, server: str) -> None:
        """Take note that a request no longer runs on a server."""
        with self._lock:
            if server not in self.running:
                return
            self.running[server].discard(fingerprint(request))
            if not self.running[server]:
                del self.running[server]

    def observe_load(self, server: str, report: LoadReport) -> None:
        """Learn the engine's incarnation and pass the report on."""
        self.incarnations[server] = report.incarnation
        self.observer.observe_load(server, report)

    def observe_events(self, server: str, events: CacheEvents) -> None:
        """Pass cache events on."""
        self.observer.observe_events(server, events)

    def forget(self, server: str) -> None:
        """Pass on that a server left or came back empty."""
        self.observer.forget(server)

    def _suspect_name(self, request):
        if not self.registry.has_suspects():
            return ""
        name = fingerprint(request)
        return name if self.registry.is_suspect(name) else ""
