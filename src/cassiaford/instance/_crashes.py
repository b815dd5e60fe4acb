"""Reporting to the fleet which requests were running when servers crashed."""

import threading

from cassiaford.engines import CacheEvents, EngineObserver, LoadReport, shared_parts
from cassiaford.fleet import SuspectRegistry
from cassiaford.instance._fingerprint import fingerprint
from cassiaford.pipeline import AdmittedRequest, SuspectPolicy
from cassiaford.suspects import SuspectPlacement, part_fingerprint
from cassiaford.verdict import Refusal, RefusalReason, Verdict


class CrashMonitor(SuspectPolicy, EngineObserver):
    """Reports the requests that were running on a server when it crashed.

    It observes engines ahead of the dispatcher to record their incarnations,
    by which several instances identify the same crash.
    """

    def __init__(self, registry: SuspectRegistry):
        self.registry = registry
        self.observer: EngineObserver | None = None
        self.incarnations: dict[str, str] = {}
        self.placement = SuspectPlacement()
        self._lock = threading.Lock()

    def refusal(self, request: AdmittedRequest) -> Refusal | None:
        """Return a refusal if a request has crashed too many servers."""
        if not self.registry.has_suspects():
            return None
        parts = _part_fingerprints(request)
        if not self.registry.is_refused(fingerprint(request), parts):
            return None
        return Refusal(
            RefusalReason.CRASHES_SERVERS,
            Verdict.MAY_HAVE_RUN,
            "backend servers crashed while they ran this request; it is not run again",
        )

    def record_crash(self, request: AdmittedRequest, server: str) -> None:
        """Record that a server's connection broke while it ran a request."""
        # Reported immediately, since the next attempt may follow within
        # milliseconds. The reports on one incarnation are merged.
        self.registry.record_crash(
            server,
            (fingerprint(request),),
            self.incarnations.get(server, ""),
            _part_fingerprints(request),
        )

    def record_completion(self, request: AdmittedRequest) -> None:
        """Clear the suspicion of a request that ran to completion."""
        parts = _part_fingerprints(request)
        if parts or self.registry.has_suspects():
            self.registry.record_completion(fingerprint(request), parts)

    def servers_to_avoid(
        self, request: AdmittedRequest, servers: tuple[str, ...]
    ) -> frozenset[str]:
        """Return the servers that run another suspect or are assigned to peers."""
        suspect = self._suspect_fingerprint(request)
        if not suspect:
            return frozenset()
        with self._lock:
            return self.placement.servers_to_avoid(
                suspect, servers, self.registry.instances(), self.registry.instance
            )

    def record_start(self, request: AdmittedRequest, server: str) -> None:
        """Record that a request was sent to a server."""
        suspect = self._suspect_fingerprint(request)
        if suspect:
            with self._lock:
                self.placement.record_start(suspect, server)

    def record_end(self, request: AdmittedRequest, server: str) -> None:
        """Record that a request no longer runs on a server."""
        with self._lock:
            if self.placement.running:
                self.placement.record_end(fingerprint(request), server)

    def observe_load(self, server: str, report: LoadReport) -> None:
        """Record the engine's incarnation and forward the report."""
        self.incarnations[server] = report.incarnation
        self.observer.observe_load(server, report)

    def observe_events(self, server: str, events: CacheEvents) -> None:
        """Forward cache events."""
        self.observer.observe_events(server, events)

    def remove_server(self, server: str) -> None:
        """Forward the removal of a server that left or restarted."""
        self.observer.remove_server(server)

    def _suspect_fingerprint(self, request):
        if not self.registry.has_suspects():
            return ""
        suspect = fingerprint(request)
        return suspect if self.registry.is_suspect(suspect) else ""


def _part_fingerprints(request):
    call = request.call
    if call is None:
        return ()
    return tuple(part_fingerprint(call.model.name, p) for p in shared_parts(call.body))
