"""Fleet-wide enforcement of customers' rates and bursts."""

import threading
import time
from collections.abc import Callable

from cassiaford.config import Configuration, Customer
from cassiaford.fleet._rates_codec import (
    ShareCodecError,
    decode_ledger,
    decode_message,
    encode_ledger,
    encode_message,
)
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.keyvalue import KeyValueError, KeyValueService
from cassiaford.logs import Event
from cassiaford.pipeline._admit import Limiter
from cassiaford.policy import Holder, Limit, RateShares
from cassiaford.timeline import Journal
from cassiaford.verdict import Refusal, RefusalReason, refuse

LEDGER_KEY = "rates/ledger"
TICK_INTERVAL_S = 0.05
# A charge waits at most this long for tokens from other instances.
MAX_CHARGE_WAIT_S = 0.3
WATCH_TIMEOUT_S = 30.0
RETRY_S = 0.5


class RateLimiter(Limiter):
    """Enforces customers' limits with rate shares that follow demand.

    One thread ticks, one synchronizes the ledger on request and one watches it;
    messages arrive on the thread of the transport.
    """

    def __init__(
        self,
        key_value: KeyValueService,
        transport: PeerTransport,
        journal: Journal,
        instance: str,
        incarnation: int,
        clock: Callable[[], float],
    ):
        self.key_value = key_value
        self.transport = transport
        self.journal = journal
        self.clock = clock
        self.rate_shares = RateShares(instance, incarnation, clock())
        self.undecoded = 0
        self._condition = threading.Condition()
        self._stopped = threading.Event()
        self._sync_requested = threading.Event()
        self._was_suspended = False
        self._threads = [
            threading.Thread(target=self._tick_loop, name="rates-tick", daemon=True),
            threading.Thread(
                target=self._ledger_loop, name="rates-ledger", daemon=True
            ),
            threading.Thread(target=self._watch_loop, name="rates-watch", daemon=True),
        ]

    def charge(self, customer: Customer, tokens: int) -> Refusal | None:
        """Charge tokens; return a refusal if the request exceeds the limits.

        Waits at most `MAX_CHARGE_WAIT_S`, and only if other instances may lend
        the tokens that this one lacks.
        """
        if tokens > customer.burst:
            return refuse(
                RefusalReason.OVER_BURST,
                f"the request counts {tokens} tokens, more than the customer's"
                f" burst of {customer.burst:g}",
            )
        deadline = self.clock() + MAX_CHARGE_WAIT_S
        with self._condition:
            while not self.rate_shares.charge(customer.name, tokens, self.clock()):
                remaining_s = deadline - self.clock()
                if remaining_s <= 0 or not self._may_receive(customer.name, tokens):
                    return self._refuse(customer.name, tokens)
                self._condition.wait(remaining_s)
        return None

    def refund(self, customer_name: str, tokens: int) -> None:
        """Refund unused tokens; a negative amount is a debt."""
        with self._condition:
            self.rate_shares.refund(customer_name, tokens, self.clock())
            self._condition.notify_all()

    def configure(self, configuration: Configuration) -> None:
        """Put the limits of a configuration in force."""
        limits = {
            customer.name: Limit(customer.rate, customer.burst)
            for customer in configuration.customers.values()
        }
        with self._condition:
            self.rate_shares.configure(limits, self.clock())

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation, and any before it, has certainly ended.

        It is certain after a leave message, a later incarnation of the same
        instance, or its absence from the platform's list for the list's lag,
        but not after mere silence.
        """
        with self._condition:
            self.rate_shares.mark_gone(instance, incarnation)
        self._sync_requested.set()

    def is_connected(self) -> bool:
        """Return whether all owners of shares can be reached for loans."""
        with self._condition:
            return self.rate_shares.is_connected()

    def start(self) -> None:
        """Read the ledger if the service is up, and start sharing rates."""
        self.transport.subscribe(Channel.RATES, self._on_message)
        self._sync_ledger()
        for thread in self._threads:
            thread.start()

    def leave(self) -> None:
        """Release all shares at a planned stop, so that others take them over."""
        with self._condition:
            self.rate_shares.leave(self.clock())
        self._sync_ledger()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopped.set()
        self._sync_requested.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join(RETRY_S)

    def _may_receive(self, customer, tokens):
        """Request tokens from other instances; return whether some may arrive."""
        now = self.clock()
        if not self.rate_shares.awaits_reply(customer, now):
            self._send(self.rate_shares.request_loans(customer, tokens, now))
        return self.rate_shares.awaits_reply(customer, now)

    def _refuse(self, customer, tokens):
        wait_s = self.rate_shares.retry_after(customer, tokens, self.clock())
        if self.rate_shares.is_connected():
            text = (
                f"the customer's rate is used up; {tokens} tokens will be available"
                f" in {wait_s:.2f} s"
            )
        else:
            text = (
                "this instance's share of the customer's rate is used up, and not"
                " all instances that share it reply; ask another instance"
            )
        return refuse(RefusalReason.RATE_LIMITED, text, wait_s)

    # Peer messages and ticks.

    def _on_message(self, received: PeerMessage):
        try:
            message = decode_message(received.body)
        except ShareCodecError:
            self.undecoded += 1
            self.journal.record(
                Event.PEER_MESSAGE_DROPPED, reason="undecodable", peer=received.sender
            )
            return
        sender = Holder(received.sender, received.sender_incarnation)
        with self._condition:
            before = self.rate_shares.ledger.epoch
            self.rate_shares.mark_gone(sender.instance, sender.incarnation - 1)
            self._send(self.rate_shares.receive(sender, message, self.clock()))
            self._condition.notify_all()
            changed = self.rate_shares.ledger.epoch != before
        if changed:
            self._sync_requested.set()

    def _send(self, messages):
        for item in messages:
            body = encode_message(item.message)
            self.transport.send(item.instance, Channel.RATES, body)

    def _tick_loop(self):
        while not self._stopped.wait(TICK_INTERVAL_S):
            try:
                self._tick()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))

    def _tick(self):
        members = self.transport.members()
        names = [member.instance for member in members]
        with self._condition:
            for member in members:
                self.rate_shares.mark_gone(member.instance, member.incarnation - 1)
            self._send(self.rate_shares.tick(self.clock(), names))
            suspended = self.rate_shares.suspended
        if suspended != self._was_suspended:
            self._was_suspended = suspended
            event = Event.SHARES_SUSPENDED if suspended else Event.SHARES_RESUMED
            self.journal.record(event)
            self._sync_requested.set()

    # The ledger.

    def _ledger_loop(self):
        while not self._stopped.is_set():
            self._sync_requested.clear()
            try:
                synced = self._sync_ledger()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))
                synced = False
            self._sync_requested.wait(None if synced else RETRY_S)

    def _watch_loop(self):
        version = -1
        while not self._stopped.is_set():
            try:
                entry = self.key_value.watch(LEDGER_KEY, version, WATCH_TIMEOUT_S)
            except KeyValueError:
                self._stopped.wait(RETRY_S)
                continue
            if entry.version != version:
                version = entry.version
                self._sync_requested.set()
            else:
                # A watch may end early; avoid a busy loop.
                self._stopped.wait(TICK_INTERVAL_S)

    def _sync_ledger(self):
        """Read the ledger and write needed changes; return whether it is current."""
        try:
            while not self._stopped.is_set():
                read_at = self.clock()
                entry = self.key_value.get(LEDGER_KEY)
                next_ledger = self._apply_ledger(entry, read_at)
                if next_ledger is None:
                    return True
                self._write(next_ledger, entry.version)
        except KeyValueError:
            # A write may still have taken effect; the next read will show.
            return False
        return True

    def _apply_ledger(self, entry, read_at):
        """Apply the ledger; return the one to write next, if any."""
        ledger = decode_ledger(entry.value)
        with self._condition:
            self.rate_shares.apply_service_ledger(ledger, read_at, self.clock())
            next_ledger = self.rate_shares.next_ledger()
        # A peer may have reported a later ledger than the one read here.
        if next_ledger is not None and next_ledger.epoch != ledger.epoch + 1:
            return None
        return next_ledger

    def _write(self, next_ledger, version):
        value = encode_ledger(next_ledger)
        result = self.key_value.compare_and_swap(LEDGER_KEY, value, version)
        if result.swapped:
            self.journal.record(
                Event.LEDGER_WRITTEN,
                epoch=next_ledger.epoch,
                holders=len(next_ledger.holders),
            )


def create_rate_limiter(
    key_value: KeyValueService,
    transport: PeerTransport,
    journal: Journal,
    instance: str,
    incarnation: int,
    clock: Callable[[], float] = time.monotonic,
) -> RateLimiter:
    """Return the rate limiter of an instance; `clock` returns monotonic seconds."""
    return RateLimiter(key_value, transport, journal, instance, incarnation, clock)
