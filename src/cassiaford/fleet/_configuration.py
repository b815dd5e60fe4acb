"""The configuration in force at this instance, and the threads that update it."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.config import Configuration
from cassiaford.fleet._authenticator import DroppedError
from cassiaford.fleet._codec import DecodeError
from cassiaford.fleet._exchange import ConfigurationExchange
from cassiaford.fleet._log import SNAPSHOT_INTERVAL, ConfigurationLog
from cassiaford.fleet._revision_codec import (
    EntryError,
    decode_configuration,
    decode_revision,
)
from cassiaford.fleet._transport import RequestTransport
from cassiaford.keyvalue import KeyValueError
from cassiaford.logs import Event
from cassiaford.policy import RevisionChange, RevisionPolicy, choose_instance
from cassiaford.timeline import Journal

NOTICE_FANOUT = 4
RETRY_S = 0.5
# Limit on expiring watches over the whole fleet, to bound the service's load.
MAX_WATCH_RENEWALS_PER_S = 50.0
STOP_TIMEOUT_S = 5.0

OnChange = Callable[[Configuration, Configuration], None]


@dataclass(frozen=True)
class StoreLimits:
    """Timing limits in seconds; see `LimitSettings` and `KeyValueSettings`."""

    stale_after_s: float
    watch_timeout_s: float


class ConfigurationStore:
    """Follows the newest configuration through the service and the peers.

    `current` is replaced as a whole; read it once for each request.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        peers: RequestTransport,
        policy: RevisionPolicy,
        limits: StoreLimits,
        journal: Journal,
        clock: Callable[[], float],
    ):
        self.log = log
        self.peers = peers
        self.policy = policy
        self.limits = limits
        self.journal = journal
        self.clock = clock
        self.current = policy.current
        self.callbacks: list[OnChange] = []
        self._lock = threading.Lock()
        self._change_lock = threading.RLock()
        self._stopping = threading.Event()
        self._fetch_requested = threading.Event()
        self._was_fresh = None
        self._last_rejection = ""
        self._threads = [
            threading.Thread(target=self._follow_service, name="configuration"),
            threading.Thread(target=self._follow_peers, name="configuration-peers"),
        ]
        self.exchange = ConfigurationExchange(
            peers,
            lambda: self.current,
            self._entries_after,
            lambda peer, revision: self.update_from_peer(peer, revision, None),
        )

    def start(self) -> None:
        """Start following the service and the peers."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self) -> None:
        """Stop both threads without waiting for a call to the service to return."""
        self._stopping.set()
        self._fetch_requested.set()
        if self._threads[1].is_alive():
            self._threads[1].join(STOP_TIMEOUT_S)

    def on_change(self, callback: OnChange) -> None:
        """Register a callback for the old and new configuration of each change.

        Callbacks run one at a time, in the order of revisions.
        """
        self.callbacks.append(callback)

    def is_fresh(self, now: float) -> bool:
        """Return whether a withdrawn key would have been noticed by now.

        Requests with a key are refused while this is False.
        """
        with self._lock:
            return self.policy.is_fresh(now)

    def is_ready(self) -> bool:
        """Return whether serving may start with the configuration in force."""
        peer_count = len(self.peers.members()) - 1
        with self._lock:
            return self.policy.is_ready(peer_count)

    def update_from_peer(
        self, instance: str, revision: int, as_of: float | None
    ) -> None:
        """Record the revision that a peer reported."""
        with self._lock:
            self.policy.update_from_peer(instance, revision, as_of, self.clock())
            behind = self.policy.behind_since is not None
        if behind:
            self._fetch_requested.set()

    def remove_peer(self, instance: str) -> None:
        """Remove the reports of a peer that is gone."""
        with self._lock:
            self.policy.remove_peer(instance)

    def record_freshness(self, now: float) -> None:
        """Log that the configuration became stale, or fresh again."""
        fresh = self.is_fresh(now)
        if self._was_fresh is None and not fresh:
            # Nothing has been loaded yet.
            return
        if self._was_fresh not in (None, fresh):
            event = Event.CONFIGURATION_FRESH if fresh else Event.CONFIGURATION_STALE
            self.journal.record(event)
        self._was_fresh = fresh

    # The thread that follows the service.

    def _follow_service(self):
        reachable = True
        while not self._stopping.is_set():
            try:
                self._follow_service_once()
                reachable = self._record_reachability(reachable, True, "")
            except KeyValueError as error:
                with self._lock:
                    self.policy.record_service_failure()
                reachable = self._record_reachability(reachable, False, error)
                self._stopping.wait(RETRY_S)
            except EntryError as error:
                self._reject(error)
                self._stopping.wait(RETRY_S)
            except Exception as error:
                self._record_failure("configuration", error)
                self._stopping.wait(RETRY_S)

    def _follow_service_once(self):
        if not self.policy.service_loaded:
            self._load()
            return
        number = self.current.revision + 1
        timeout_s = self._watch_timeout_s()
        started = self.clock()
        try:
            revision = self.log.watch(number, timeout_s)
        except EntryError:
            with self._lock:
                self.policy.record_newer_revision(started)
            self._load()
            return
        if revision is None:
            # The response was sent when the watch expired, and may have been
            # buffered since.
            self._record_service_contact(number, min(started + timeout_s, self.clock()))
            return
        self._apply_revision(revision, "service")
        self._write_snapshot_if_due()

    def _load(self):
        started = self.clock()
        self._apply_snapshot(self.log.load(), "service")
        with self._lock:
            self.policy.record_service_load(started)

    def _record_service_contact(self, number, as_of):
        with self._lock:
            if number == self.policy.current.revision + 1:
                self.policy.record_service_contact(as_of)

    def _watch_timeout_s(self):
        # Renewed watches show that the service still responds. Their rate is
        # bounded over the fleet; in a large fleet, peers report the contact.
        fleet_bound_s = len(self.peers.members()) / MAX_WATCH_RENEWALS_PER_S
        freshness_bound_s = self.limits.stale_after_s / 2
        return min(self.limits.watch_timeout_s, max(freshness_bound_s, fleet_bound_s))

    def _record_reachability(self, was_reachable, is_reachable, error):
        if was_reachable and not is_reachable:
            self.journal.record(Event.KEY_VALUE_LOST, error=error)
        if is_reachable and not was_reachable:
            self.journal.record(Event.KEY_VALUE_RECOVERED)
        return is_reachable

    def _reject(self, error):
        with self._lock:
            self.policy.record_newer_revision(self.clock())
        if str(error) != self._last_rejection:
            self._last_rejection = str(error)
            self.journal.record(Event.REVISION_REJECTED, error=error)

    def _write_snapshot_if_due(self):
        configuration = self.current
        new_revisions = configuration.revision - self.log.snapshot_revision
        if new_revisions < SNAPSHOT_INTERVAL:
            return
        # One instance is enough; if it fails, another is chosen at the next
        # revision.
        names = [member.instance for member in self.peers.members()]
        hash_key = str(configuration.revision)
        if choose_instance(hash_key, names) != self.journal.instance:
            return
        if self.log.write_snapshot(configuration):
            self.journal.record(Event.SNAPSHOT_WRITTEN)

    # The thread that fetches from peers.

    def _follow_peers(self):
        while not self._stopping.is_set():
            self._fetch_requested.wait()
            self._fetch_requested.clear()
            while not self._stopping.is_set() and self._is_behind():
                self._fetch_once()
                self._stopping.wait(0.1)

    def _is_behind(self):
        with self._lock:
            return self.policy.highest_peer_revision() > self.policy.current.revision

    def _fetch_once(self):
        started = self.clock()
        with self._lock:
            peer = self.policy.choose_fetch_peer(started)
            number = self.policy.current.revision
        if peer is None:
            return
        try:
            self._fetch(peer, number, started)
        except (OSError, DroppedError, DecodeError, EntryError):
            # The next attempt goes to another peer, or to the service.
            return
        except Exception as error:
            self._record_failure("configuration-peers", error)

    def _fetch(self, peer, number, started):
        content = self.exchange.fetch(peer, number)
        if content.snapshot:
            self._apply_snapshot(decode_configuration(content.snapshot), peer)
        for entry in content.entries:
            self._apply_revision(decode_revision(entry), peer)
        with self._lock:
            self.policy.record_peer_load(started)

    def _entries_after(self, number):
        with self._lock:
            return self.policy.entries_after(number)

    # Applying revisions.

    def _apply_revision(self, revision, source):
        with self._change_lock:
            with self._lock:
                change = self.policy.apply_revision(revision)
            self._put_in_force(change, source)

    def _apply_snapshot(self, configuration, source):
        with self._change_lock:
            with self._lock:
                change = self.policy.apply_snapshot(configuration)
            self._put_in_force(change, source)

    def _put_in_force(self, change: RevisionChange | None, source: str):
        if change is None:
            return
        self.current = change.new
        self.journal.revision = change.new.revision
        self._record(change, source)
        for callback in self.callbacks:
            self._run_callback(callback, change)
        self._notify_peers(change.new.revision)

    def _run_callback(self, callback, change):
        try:
            callback(change.old, change.new)
        except Exception as error:
            # The other callbacks must still run.
            self._record_failure("configuration callback", error)

    def _record_failure(self, thread, error):
        self.journal.record(
            Event.BACKGROUND_TASK_FAILED, thread=thread, error=repr(error)
        )

    def _record(self, change, source):
        if change.rejected:
            self.journal.record(Event.REVISION_REJECTED, error=change.rejected)
        self.journal.record(
            Event.REVISION_IN_FORCE, author=change.author, source=source
        )
        if not change.old.revision:
            return
        for key_id in change.old.keys.keys() - change.new.keys.keys():
            self.journal.record(
                Event.KEY_WITHDRAWN, key_id=key_id, author=change.author
            )

    def _notify_peers(self, revision):
        names = [member.instance for member in self.peers.members()]
        others = [name for name in names if name != self.journal.instance]
        chosen = self.policy.choose_peers(others, NOTICE_FANOUT)
        self.exchange.send_notice(chosen, revision)


def create_configuration_store(
    log: ConfigurationLog,
    peers: RequestTransport,
    limits: StoreLimits,
    journal: Journal,
    clock: Callable[[], float],
    seed: int | str,
) -> ConfigurationStore:
    """Return the configuration store of one instance."""
    policy = RevisionPolicy(limits.stale_after_s, random.Random(seed))
    return ConfigurationStore(log, peers, policy, limits, journal, clock)
