"""Reports between instances: one small datagram, several times a second."""

import asyncio
import itertools
from collections.abc import Callable

from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._peer_codec import (
    PeerMessageError,
    Report,
    decode_report,
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
)
from cassiaford.logs import Event

# How often work and spending are told. A prompt is read in tens of
# milliseconds, so older word would come after the fact.
REPORT_S = 0.1
# So much work placed by one instance is told at once: others would place short
# prompts behind it, whose targets are a few tenths of a second.
TELL_AT_ONCE_S = 0.05
# Everything is told again this often, for peers that missed a report.
WHOLE_EVERY = 10
# Reports that say nothing new are left out, up to this many.
MOST_LEFT_OUT = 3


class PeerReports(asyncio.DatagramProtocol):
    """Tells peers what this instance does, and learns what they do."""

    def __init__(
        self,
        state: PeerState,
        table: PeerTable,
        engines: EnginePlacer,
        services: ServicePlacer,
        rates: FleetRates,
        log: EventLog,
    ):
        self.state = state
        self.table = table
        self.engines = engines
        self.services = services
        self.rates = rates
        self.log = log
        self.held: frozenset[int] = frozenset()
        self.unreachable: frozenset[int] = frozenset()
        self.on_unreachable: Callable[[frozenset[int]], None] = lambda keys: None
        self.revision = lambda: 0
        self.on_newer_peer: Callable[[PeerState, int], None] = lambda peer, revision: (
            None
        )
        self.peers_held: dict[str, frozenset[int]] = {}
        self.on_out_of_use: Callable[[], None] = lambda: None
        self.customers: dict[int, str] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self._sequence = itertools.count(1)
        self._newest: dict[int, tuple[int, int]] = {}
        self._states: dict[int, PeerState] = {}
        self._told = {}
        self._left_out = 0
        self._untold_s = 0.0
        self._rounds = itertools.count()
        self._now = asyncio.get_running_loop().time

    def connection_made(self, transport):
        """Take the socket in."""
        self.transport = transport

    def error_received(self, exc):
        """Pass over a peer's closed port; its silence is noticed."""

    def datagram_received(self, data, addr):
        """Take in a report."""
        try:
            report = decode_report(data)
        except PeerMessageError as error:
            self.log.write(Event.PEER_MESSAGE_DROPPED, peer=addr[0], cause=str(error))
            return
        if report.sender != digest(self.state.name) and self._is_new(report):
            self._take_in(report)

    def set_customers(self, names) -> None:
        """Take in the customers' names, which reports hold by digest."""
        self.customers = {digest(name): name for name in names}

    def set_out_of_use(self, keys: frozenset[int]) -> None:
        """Tell peers at once which engines this instance takes out of use."""
        self.held = keys
        self.send_report()
        self.on_out_of_use()

    def all_out_of_use(self) -> frozenset[int]:
        """Return the engines that any live instance has taken out of use."""
        live = {peer.name for peer in self.table.live(self._now())}
        held = [h for name, h in self.peers_held.items() if name in live]
        return self.held.union(*held)

    def record_placement(self, prefill_s: float) -> None:
        """Take note of work that was placed on an engine."""
        self._untold_s += prefill_s
        if self._untold_s >= TELL_AT_ONCE_S:
            self.send_report()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.send_report()
            await asyncio.sleep(REPORT_S)

    def send_report(self) -> None:
        """Send one report, of what has changed or of everything."""
        if self.transport is None or self.transport.is_closing():
            return
        self._untold_s = 0.0
        whole = next(self._rounds) % WHOLE_EVERY == 0
        work = self._work()
        spending = {digest(n): round(t) for n, t in self.rates.spent().items()}
        placements = tuple(self.engines.prefix_locations.take_to_tell())
        now_told = {
            "work": work,
            "spending": spending,
            "held": self.held,
            "unreachable": self.unreachable,
        }
        same = now_told == self._told and not placements
        if not whole and same and self._left_out < MOST_LEFT_OUT:
            self._left_out += 1
            return
        self._left_out = 0
        if not whole:
            work = _changed(work, self._told.get("work", {}))
            spending = _changed(spending, self._told.get("spending", {}))
        self._told = now_told
        report = Report(
            sender=digest(self.state.name),
            incarnation=self.state.incarnation,
            sequence=next(self._sequence),
            state=self.state if whole else None,
            revision=self.revision(),
            read_speed=round(self.engines.speed.learned) if whole else 0,
            work=work,
            spending=spending,
            held=self.held,
            unreachable=self.unreachable,
            placements=placements,
        )
        data = encode_report(report)
        for peer in self.table.all():
            host, _, port = peer.peer_address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))

    def _work(self):
        work = self.engines.own_work()
        for key, running in self.services.own.items():
            work[key] = _plain_work(running)
        told = self._told.get("work", {})
        for key, placed in told.items():
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

    def _take_in(self, report):
        now = self._now()
        state = self._sender(report)
        if state is None:
            return
        name = state.name
        self.table.hear(state, now)
        if report.read_speed:
            self.engines.speed.hear(name, report.read_speed)
        self.engines.update_from_peer(name, report.work, report.whole, now)
        self.engines.prefix_locations.hear(report.placements, now)
        running = {} if report.whole else dict(self.services.peers.get(name, {}))
        running.update({key: w.running for key, w in report.work.items()})
        self.services.hear(name, running)
        spent = {
            self.customers[key]: tokens
            for key, tokens in report.spending.items()
            if key in self.customers
        }
        self.rates.update_from_peer(name, report.incarnation, spent, now)
        if self.peers_held.get(name, frozenset()) != report.held:
            self.peers_held[name] = report.held
            self.on_out_of_use()
        self.on_unreachable(report.unreachable)
        if report.revision > self.revision():
            self.on_newer_peer(state, report.revision)


def _plain_work(running):
    return PlacedWork(0, running, 0)


def _changed(now, before):
    return {key: value for key, value in now.items() if before.get(key) != value}
