"""Reports between instances: one small datagram, several times a second."""

import asyncio
import itertools
import socket
from collections.abc import Callable

from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._peer_codec import (
    OriginMessage,
    PeerMessageError,
    Report,
    decode_message,
    encode_report,
)
from cassiaford.gateway._view import digest
from cassiaford.gateway.policy import (
    EnginePlacer,
    FleetRates,
    PeerState,
    PeerTable,
    PlacedWork,
    ServicePlacer,
    VersionAge,
)
from cassiaford.logs import Event

# A prefill takes tens of milliseconds, so less frequent reports of work would
# arrive too late.
REPORT_INTERVAL_S = 0.1
# Placing this much work triggers a report immediately: peers would place short
# prompts behind it, whose targets are a few tenths of a second.
IMMEDIATE_REPORT_WORK_S = 0.05
# One in this many reports is whole, for peers that missed a report.
WHOLE_EVERY_REPORTS = 10
# Up to this many reports in a row are skipped if nothing has changed.
MAX_SKIPPED_REPORTS = 3
# Reports that are read in one iteration of the event loop.
MAX_WAITING_REPORTS = 256
MAX_DATAGRAM_BYTES = 65_536


class PeerReports(asyncio.DatagramProtocol):
    """Sends reports to peers, and applies the reports received from them.

    The gateway sets the callbacks, and `revision`, which returns the revision
    of this instance's copy of the store.
    """

    def __init__(
        self,
        state: PeerState,
        table: PeerTable,
        engines: EnginePlacer,
        services: ServicePlacer,
        rates: FleetRates,
        crashes: CrashMonitor,
        log: EventLog,
    ):
        self.state = state
        self.table = table
        self.engines = engines
        self.services = services
        self.rates = rates
        self.crashes = crashes
        self.log = log
        self.out_of_use: frozenset[int] = frozenset()
        self.unreachable: frozenset[int] = frozenset()
        self.on_unreachable: Callable[[frozenset[int]], None] = lambda keys: None
        self.revision = lambda: 0
        self.on_newer_peer: Callable[[PeerState, int], None] = lambda peer, revision: (
            None
        )
        self.on_origins: Callable[[OriginMessage, str], None] = lambda *args: None
        self.peers_out_of_use: dict[str, frozenset[int]] = {}
        self.on_out_of_use: Callable[[], None] = lambda: None
        self.version_ages: Callable[[], tuple[VersionAge, ...]] = tuple
        self.on_version_ages: Callable[[tuple[VersionAge, ...]], None] = lambda ages: (
            None
        )
        self.customers_by_digest: dict[int, str] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._sequence = itertools.count(1)
        self._newest: dict[int, tuple[int, int]] = {}
        self._states: dict[int, PeerState] = {}
        self._reported = {}
        self._skipped = 0
        self._unreported_s = 0.0
        self._version_unreported = False
        # A peer that has just started knows nothing; its next report may be far off.
        self._peer_started = False
        self._rounds = itertools.count()
        self._now = asyncio.get_running_loop().time

    def connection_made(self, transport):
        """Store the transport, and a handle of its socket."""
        self.transport = transport
        self._socket = transport.get_extra_info("socket").dup()

    def connection_lost(self, exc):
        """Close the handle of the socket."""
        self._socket.close()

    def error_received(self, exc):
        """Ignore a peer's closed port; its silence is detected anyway."""

    def datagram_received(self, data, addr):
        """Process a report and those behind it.

        The event loop reads one datagram an iteration, while a busy iteration may
        take longer than the time between two of all peers' reports.
        """
        self.receive(data, addr)
        for _ in range(MAX_WAITING_REPORTS):
            try:
                data, addr = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.error_received(error)
                return
            self.receive(data, addr)

    def receive(self, data, addr):
        """Process a report, or pass on what is not one."""
        try:
            report = decode_message(data)
        except PeerMessageError as error:
            self.log.write(Event.PEER_MESSAGE_DROPPED, peer=addr[0], cause=str(error))
            return
        if isinstance(report, OriginMessage):
            self.on_origins(report, f"{addr[0]}:{addr[1]}")
        elif report.sender != digest(self.state.name) and self._is_new(report):
            self._apply(report)

    def set_customers(self, names) -> None:
        """Set the customers' names, which reports contain as digests."""
        self.customers_by_digest = {digest(name): name for name in names}

    def set_out_of_use(self, keys: frozenset[int]) -> None:
        """Report immediately which engines this instance takes out of use."""
        self.out_of_use = keys
        self.send_report()
        self.on_out_of_use()

    def all_out_of_use(self) -> frozenset[int]:
        """Return the engines that any live instance has taken out of use."""
        live = {peer.name for peer in self.table.live(self._now())}
        reported = [k for name, k in self.peers_out_of_use.items() if name in live]
        return self.out_of_use.union(*reported)

    def record_placement(self, prefill_s: float) -> None:
        """Record work that was placed on an engine."""
        self._unreported_s += prefill_s
        if self._unreported_s >= IMMEDIATE_REPORT_WORK_S:
            self.send_report()

    def report_version(self) -> None:
        """Report immediately that a version was named."""
        self._version_unreported = True
        self.send_report()

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to the address of a peer."""
        if self.transport is not None and not self.transport.is_closing():
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send_report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def send_report(self) -> None:
        """Send one report, of the changes or of the whole state."""
        if self.transport is None or self.transport.is_closing():
            return
        self._unreported_s = 0.0
        whole = next(self._rounds) % WHOLE_EVERY_REPORTS == 0 or self._peer_started
        self._peer_started = False
        work = self._work()
        spending = {digest(n): round(t) for n, t in self.rates.spent().items()}
        placements = tuple(self.engines.prefix_locations.pop_unreported())
        current = {
            "work": work,
            "spending": spending,
            "held": self.out_of_use,
            "unreachable": self.unreachable,
        }
        suspicions = tuple(self.crashes.messages(whole))
        versions = whole or self._version_unreported
        same = current == self._reported and not placements and not suspicions
        same = same and not versions
        if not whole and same and self._skipped < MAX_SKIPPED_REPORTS:
            self._skipped += 1
            return
        self._skipped = 0
        self._version_unreported = False
        if not whole:
            work = _changed(work, self._reported.get("work", {}))
            spending = _changed(spending, self._reported.get("spending", {}))
        self._reported = current
        report = Report(
            sender=digest(self.state.name),
            incarnation=self.state.incarnation,
            sequence=next(self._sequence),
            state=self.state if whole else None,
            revision=self.revision(),
            prefill_speed=round(self.engines.speed.own_tokens_per_s) if whole else 0,
            work=work,
            spending=spending,
            out_of_use=self.out_of_use,
            unreachable=self.unreachable,
            placements=placements,
            suspicions=suspicions,
            version_ages=self.version_ages() if versions else (),
        )
        data = encode_report(report)
        for peer in self.table.all():
            self.send(data, peer.peer_address)

    def _work(self):
        work = self.engines.own_work()
        for key, running in self.services.own_running.items():
            work[key] = _plain_work(running)
        reported = self._reported.get("work", {})
        for key, placed in reported.items():
            if key not in work and placed.running:
                work[key] = _plain_work(0)
        return work

    def _is_new(self, report):
        newest = self._newest.get(report.sender, (0, 0))
        number = (report.incarnation, report.sequence)
        if number <= newest:
            return False
        self._newest[report.sender] = number
        return True

    def _sender(self, report):
        """Return the state of a report's sender, None if it is not known yet."""
        if report.state is not None:
            self._states[report.sender] = report.state
        state = self._states.get(report.sender)
        if state is None or state.incarnation != report.incarnation:
            return None
        return state

    def _apply(self, report):
        now = self._now()
        state = self._sender(report)
        if state is None:
            return
        name = state.name
        if self.table.is_new(state):
            self._peer_started = True
        self.table.update_from_peer(state, now)
        if report.prefill_speed:
            self.engines.speed.update_from_peer(name, report.prefill_speed)
        self.engines.update_from_peer(name, report.work, report.whole, now)
        self.engines.prefix_locations.update_from_peer(report.placements, now)
        running = {} if report.whole else dict(self.services.peer_running.get(name, {}))
        running.update({key: w.running for key, w in report.work.items()})
        self.services.update_from_peer(name, running)
        spent = {
            self.customers_by_digest[key]: tokens
            for key, tokens in report.spending.items()
            if key in self.customers_by_digest
        }
        self.rates.update_from_peer(name, report.incarnation, spent, now, report.whole)
        if self.peers_out_of_use.get(name, frozenset()) != report.out_of_use:
            self.peers_out_of_use[name] = report.out_of_use
            self.on_out_of_use()
        self.on_unreachable(report.unreachable)
        for message in report.suspicions:
            self.crashes.apply(message)
        self.on_version_ages(report.version_ages)
        if report.revision > self.revision():
            self.on_newer_peer(state, report.revision)


def _plain_work(running):
    return PlacedWork(0, running, 0)


def _changed(now, before):
    return {key: value for key, value in now.items() if before.get(key) != value}
