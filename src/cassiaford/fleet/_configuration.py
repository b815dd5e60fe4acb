"""The configuration in force at this instance, and the threads that keep it."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from cassiaford.config import Configuration
from cassiaford.fleet._codec import DecodeError
from cassiaford.fleet._exchange import ConfigurationExchange
from cassiaford.fleet._gate import DroppedError
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
# The fleet's watches that run out, a second, on the key-value service.
WATCH_RENEWALS_PER_S = 50.0
STOP_TIMEOUT_S = 5.0

OnChange = Callable[[Configuration, Configuration], None]


@dataclass(frozen=True)
class StoreLimits:
    """Times in seconds; see `LimitSettings` and `KeyValueSettings`."""

    stale_after_s: float
    watch_timeout_s: float


class ConfigurationStore:
    """Keeps the newest configuration in force.

    `current` is replaced as a whole; take it once for each request.
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
        self._fetch_wanted = threading.Event()
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
            lambda peer, revision: self.peer_heard(peer, revision, None),
        )

    def start(self) -> None:
        """Start following the service and the peers."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self) -> None:
        """Stop both threads; one that waits on the service is left behind."""
        self._stopping.set()
        self._fetch_wanted.set()
        if self._threads[1].is_alive():
            self._threads[1].join(STOP_TIMEOUT_S)

    def on_change(self, callback: OnChange) -> None:
        """Have a callback called with the old and new configuration.

        Callbacks run one after the other, in the order of revisions.
        """
        self.callbacks.append(callback)

    def is_fresh(self, now: float) -> bool:
        """Return whether a withdrawal would have been noticed by now.

        While it is False, requests with a key are refused.
        """
        with self._lock:
            return self.policy.is_fresh(now)

    def is_ready(self) -> bool:
        """Return whether serving may start at the configuration in force."""
        peer_count = len(self.peers.members()) - 1
        with self._lock:
            return self.policy.is_ready(peer_count)

    def peer_heard(self, instance: str, revision: int, as_of: float | None) -> None:
        """Take note of the revision that a peer told."""
        with self._lock:
            self.policy.update_from_peer(instance, revision, as_of, self.clock())
            lacking = self.policy.behind_since is not None
        if lacking:
            self._fetch_wanted.set()

    def peer_gone(self, instance: str) -> None:
        """Drop what a peer told that is gone."""
        with self._lock:
            self.policy.remove_peer(instance)

    def note_freshness(self, now: float) -> None:
        """Record when the configuration becomes stale or fresh again."""
        fresh = self.is_fresh(now)
        if self._was_fresh is None and not fresh:
            # Not started yet.
            return
        if self._was_fresh not in (None, fresh):
            event = Event.CONFIGURATION_FRESH if fresh else Event.CONFIGURATION_STALE
            self.journal.record(event)
        self._was_fresh = fresh

    # Following the service.

    def _follow_service(self):
        answered = True
        while not self._stopping.is_set():
            try:
                self._follow_service_once()
                answered = self._note_answer(answered, True, "")
            except KeyValueError as error:
                with self._lock:
                    self.policy.record_service_failure()
                answered = self._note_answer(answered, False, error)
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
            # The service answered no sooner than the watch ran out, and the
            # answer may have lain in a buffer since.
            self._service_word(number, min(started + timeout_s, self.clock()))
            return
        self._take_entry(revision, "service")
        self._write_snapshot_if_due()

    def _load(self):
        started = self.clock()
        self._take_snapshot(self.log.load(), "service")
        with self._lock:
            self.policy.record_service_load(started)

    def _service_word(self, number, as_of):
        with self._lock:
            if number == self.policy.current.revision + 1:
                self.policy.record_service_contact(as_of)

    def _watch_timeout_s(self):
        # Renewals tell that the service still answers. Their number over the
        # whole fleet is bounded; in a large fleet, peers give that word.
        fleet_s = len(self.peers.members()) / WATCH_RENEWALS_PER_S
        often_s = self.limits.stale_after_s / 2
        return min(self.limits.watch_timeout_s, max(often_s, fleet_s))

    def _note_answer(self, before, now, error):
        if before and not now:
            self.journal.record(Event.KEY_VALUE_LOST, error=error)
        if now and not before:
            self.journal.record(Event.KEY_VALUE_RECOVERED)
        return now

    def _reject(self, error):
        with self._lock:
            self.policy.record_newer_revision(self.clock())
        if str(error) != self._last_rejection:
            self._last_rejection = str(error)
            self.journal.record(Event.REVISION_REJECTED, error=error)

    def _write_snapshot_if_due(self):
        configuration = self.current
        past = configuration.revision - self.log.snapshot_revision
        if past < SNAPSHOT_INTERVAL:
            return
        # One instance is enough; if it fails, the next revision has another.
        names = [member.instance for member in self.peers.members()]
        turn = str(configuration.revision)
        if choose_instance(turn, names) != self.journal.instance:
            return
        if self.log.write_snapshot(configuration):
            self.journal.record(Event.SNAPSHOT_WRITTEN)

    # Following the peers.

    def _follow_peers(self):
        while not self._stopping.is_set():
            self._fetch_wanted.wait()
            self._fetch_wanted.clear()
            while not self._stopping.is_set() and self._lacking():
                self._fetch_once()
                self._stopping.wait(0.1)

    def _lacking(self):
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
            # Another peer, or the service, is tried next.
            return
        except Exception as error:
            self._record_failure("configuration-peers", error)

    def _fetch(self, peer, number, started):
        content = self.exchange.fetch(peer, number)
        if content.snapshot:
            self._take_snapshot(decode_configuration(content.snapshot), peer)
        for entry in content.entries:
            self._take_entry(decode_revision(entry), peer)
        with self._lock:
            self.policy.record_peer_load(started)

    def _entries_after(self, number):
        with self._lock:
            return self.policy.entries_after(number)

    # Putting revisions in force.

    def _take_entry(self, revision, source):
        with self._change_lock:
            with self._lock:
                change = self.policy.apply_revision(revision)
            self._put_in_force(change, source)

    def _take_snapshot(self, configuration, source):
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
            self._call(callback, change)
        self._tell_peers(change.new.revision)

    def _call(self, callback, change):
        try:
            callback(change.old, change.new)
        except Exception as error:
            # The other parts must learn of the change all the same.
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

    def _tell_peers(self, revision):
        names = [member.instance for member in self.peers.members()]
        others = [name for name in names if name != self.journal.instance]
        chosen = self.policy.choose_peers(others, NOTICE_FANOUT)
        self.exchange.tell(chosen, revision)


def create_configuration_store(
    log: ConfigurationLog,
    peers: RequestTransport,
    limits: StoreLimits,
    journal: Journal,
    clock: Callable[[], float],
    seed: int | str,
) -> ConfigurationStore:
    """Return a store for one instance."""
    policy = RevisionPolicy(limits.stale_after_s, random.Random(seed))
    return ConfigurationStore(log, peers, policy, limits, journal, clock)
