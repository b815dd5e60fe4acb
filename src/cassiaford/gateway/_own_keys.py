"""The gateways' own keys in the shared store."""

import asyncio

from cassiaford.gateway._crashes import CrashMonitor
from cassiaford.gateway._event_log import EventLog
from cassiaford.gateway._orders import Orderer
from cassiaford.gateway._registration import Registration, decode_entry
from cassiaford.gateway._store import Change
from cassiaford.gateway._version_terms import VersionTerms
from cassiaford.gateway.policy import PeerTable
from cassiaford.logs import Event

OWN_PREFIX = "cassiaford/"
INSTANCES_PREFIX = OWN_PREFIX + "instances/"
ORDERER_KEY = OWN_PREFIX + "orderer"
SUSPECTS_PREFIX = OWN_PREFIX + "suspects/"
VERSIONS_PREFIX = OWN_PREFIX + "versions/"


class OwnKeys:
    """Passes each change to the component that the key belongs to."""

    def __init__(
        self,
        table: PeerTable,
        registration: Registration,
        orderer: Orderer,
        crashes: CrashMonitor,
        terms: VersionTerms,
        log: EventLog,
    ):
        self.table = table
        self.registration = registration
        self.orderer = orderer
        self.crashes = crashes
        self.terms = terms
        self.log = log
        self._now = asyncio.get_running_loop().time

    def on_change(self, change: Change) -> None:
        """Apply a change; log a value that cannot be decoded."""
        try:
            if change.key == ORDERER_KEY:
                self.orderer.on_key_changed(change.item is not None)
            elif change.key.startswith(SUSPECTS_PREFIX):
                self.crashes.apply_change(change)
            elif change.key.startswith(VERSIONS_PREFIX):
                self.terms.on_change(change)
            elif change.key == self.registration.key:
                if change.item is None:
                    self.registration.on_entry_removed()
            else:
                self._apply_peer(change)
        except ValueError as error:
            self.log.write(Event.REVISION_REJECTED, key=change.key, cause=str(error))

    def _apply_peer(self, change):
        if change.item is None:
            self.table.unregister(change.key.removeprefix(INSTANCES_PREFIX))
        else:
            self.table.register(decode_entry(change.item.value), self._now())
