"""Customers' rates and bursts over the whole fleet."""

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
TICK_S = 0.05
# The longest time that a charge waits for tokens from other instances.
MAX_CHARGE_WAIT_S = 0.3
WATCH_TIMEOUT_S = 30.0
RETRY_S = 0.5


class RateLimiter(Limiter):
    """Holds customers to their limits with shares that follow demand.

    One thread keeps time, one reads and writes the ledger when there is cause,
    one watches it, and messages come in on the thread of the transport.
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
        self.book = RateShares(instance, incarnation, clock())
        self.undecoded = 0
        self._condition = threading.Condition()
        self._stopped = threading.Event()
        self._kick = threading.Event()
        self._was_suspended = False
        self._threads = [
            threading.Thread(target=self._tick_loop, name="rates-tick", daemon=True),
            threading.Thread(
                target=self._ledger_loop, name="rates-ledger", daemon=True
            ),
            threading.Thread(target=self._watch_loop, name="rates-watch", daemon=True),
        ]

    def charge(self, customer: Customer, tokens: int) -> Refusal | None:
        """Charge tokens, or return why the request is refused.

        Waits at most `CHARGE_WAIT_S`, and only if other instances are thought
        to have the tokens that this one lacks.
        """
        if tokens > customer.burst:
            return refuse(
                RefusalReason.OVER_BURST,
                f"the request counts {tokens} tokens, more than the whole burst"
                f" of {customer.burst:g}",
            )
        deadline = self.clock() + MAX_CHARGE_WAIT_S
        with self._condition:
            while not self.book.charge(customer.name, tokens, self.clock()):
                left = deadline - self.clock()
                if left <= 0 or not self._may_get(customer.name, tokens):
                    return self._refuse(customer.name, tokens)
                self._condition.wait(left)
        return None

    def refund(self, customer_name: str, tokens: int) -> None:
        """Give back tokens that were not used; negative ones are a debt."""
        with self._condition:
            self.book.refund(customer_name, tokens, self.clock())
            self._condition.notify_all()

    def configure(self, configuration: Configuration) -> None:
        """Put the limits of a configuration in force."""
        limits = {
            customer.name: Limit(customer.rate, customer.burst)
            for customer in configuration.customers.values()
        }
        with self._condition:
            self.book.configure(limits, self.clock())

    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation, and any before it, is certainly gone.

        Certain is what a goodbye, a later incarnation of the same instance,
        or the platform's list after its lag says; silence is not.
        """
        with self._condition:
            self.book.mark_gone(instance, incarnation)
        self._kick.set()

    def is_connected(self) -> bool:
        """Return whether shares can be borrowed from all that hold some."""
        with self._condition:
            return self.book.is_connected()

    def start(self) -> None:
        """Read the ledger if the service answers, and begin to take part."""
        self.transport.subscribe(Channel.RATES, self._on_message)
        self._sync_ledger()
        for thread in self._threads:
            thread.start()

    def leave(self) -> None:
        """Give up every share at a planned stop, so that others take over."""
        with self._condition:
            self.book.leave(self.clock())
        self._sync_ledger()

    def stop(self) -> None:
        """End the threads."""
        self._stopped.set()
        self._kick.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join(RETRY_S)

    def _may_get(self, customer, tokens):
        """Return whether tokens may still come, having asked for them."""
        now = self.clock()
        if not self.book.awaits_reply(customer, now):
            self._send(self.book.request_loans(customer, tokens, now))
        return self.book.awaits_reply(customer, now)

    def _refuse(self, customer, tokens):
        wait_s = self.book.retry_after(customer, tokens, self.clock())
        if self.book.is_connected():
            text = (
                f"the customer's rate is used up; {tokens} tokens will be there"
                f" in {wait_s:.2f} s"
            )
        else:
            text = (
                "this instance has no more of the customer's rate, and not all"
                " instances that share it answer; ask another instance"
            )
        return refuse(RefusalReason.RATE_LIMITED, text, wait_s)

    # Peers and time.

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
            before = self.book.ledger.epoch
            self.book.mark_gone(sender.instance, sender.incarnation - 1)
            self._send(self.book.receive(sender, message, self.clock()))
            self._condition.notify_all()
            changed = self.book.ledger.epoch != before
        if changed:
            self._kick.set()

    def _send(self, sends):
        for item in sends:
            body = encode_message(item.message)
            self.transport.send(item.instance, Channel.RATES, body)

    def _tick_loop(self):
        while not self._stopped.wait(TICK_S):
            try:
                self._tick()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))

    def _tick(self):
        members = self.transport.members()
        names = [member.instance for member in members]
        with self._condition:
            for member in members:
                self.book.mark_gone(member.instance, member.incarnation - 1)
            self._send(self.book.tick(self.clock(), names))
            suspended = self.book.suspended
        if suspended != self._was_suspended:
            self._was_suspended = suspended
            event = Event.SHARES_SUSPENDED if suspended else Event.SHARES_RESUMED
            self.journal.record(event)
            self._kick.set()

    # The ledger.

    def _ledger_loop(self):
        while not self._stopped.is_set():
            self._kick.clear()
            try:
                synced = self._sync_ledger()
            except Exception as error:
                self.journal.record(Event.BACKGROUND_TASK_FAILED, error=repr(error))
                synced = False
            self._kick.wait(None if synced else RETRY_S)

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
                self._kick.set()
            else:
                # A watch may end early; it must not become a busy loop.
                self._stopped.wait(TICK_S)

    def _sync_ledger(self):
        """Read the ledger and write what should change; return whether it is so."""
        try:
            while not self._stopped.is_set():
                read_at = self.clock()
                entry = self.key_value.get(LEDGER_KEY)
                wanted = self._take(entry, read_at)
                if wanted is None:
                    return True
                self._write(wanted, entry.version)
        except KeyValueError:
            # A write may have taken effect all the same: reading tells.
            return False
        return True

    def _take(self, entry, read_at):
        """Take in the ledger and return the one that should follow, if any."""
        ledger = decode_ledger(entry.value)
        with self._condition:
            self.book.apply_service_ledger(ledger, read_at, self.clock())
            wanted = self.book.next_ledger()
        # A peer may have told of a later ledger than this reading showed.
        if wanted is not None and wanted.epoch != ledger.epoch + 1:
            return None
        return wanted

    def _write(self, wanted, version):
        value = encode_ledger(wanted)
        result = self.key_value.compare_and_swap(LEDGER_KEY, value, version)
        if result.swapped:
            self.journal.record(
                Event.LEDGER_WRITTEN, epoch=wanted.epoch, holders=len(wanted.holders)
            )


def create_rate_limiter(
    key_value: KeyValueService,
    transport: PeerTransport,
    journal: Journal,
    instance: str,
    incarnation: int,
    clock: Callable[[], float] = time.monotonic,
) -> RateLimiter:
    """Return the rate limiter of an instance; `clock` is in monotonic seconds."""
    return RateLimiter(key_value, transport, journal, instance, incarnation, clock)
