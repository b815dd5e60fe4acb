"""Forwarding of claims to the one instance that writes their shard.

A rendezvous hash over the live members chooses that instance, the shard's home.
The instances need not agree on it: compare-and-swap keeps claims safe, and a
claim that both the forwarding instance and the home make carries the same
nonce. Only the instance that received a request releases its claim.
"""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaford.fleet._claim_messages import (
    ClaimMessage,
    ClaimMessageError,
    ClaimReply,
    ForwardedClaim,
    ForwardedOutcome,
    OutcomeConfirmed,
    decode_claim_message,
    encode_claim_message,
)
from cassiaford.fleet._transport import Channel, PeerMessage, PeerTransport
from cassiaford.policy import (
    MAX_START_DELAY_S,
    Claim,
    ClaimAnswer,
    ClaimRecord,
    rendezvous_score,
)

# An instance that gets no reply within this time claims by itself.
REPLY_TIMEOUT_S = 0.1
# After a missing reply, nothing is forwarded to that instance for this long.
BACKOFF_S = 1.0
# An outcome that is not confirmed within this time is recorded locally.
OUTCOME_TIMEOUT_S = 0.5


class ClaimHost(ABC):
    """The operations on this instance's claims that forwarding uses."""

    @abstractmethod
    def submit(
        self, shard: str, record: ClaimRecord, reply: Callable[[ClaimAnswer], None]
    ) -> None:
        """Start a claim for another instance without blocking."""

    @abstractmethod
    def record_outcome(self, shard: str, record: ClaimRecord) -> bool:
        """Record an outcome; return whether it was accepted."""

    @abstractmethod
    def reject_ownership(self, nonce: str) -> None:
        """Release an own claim, granted elsewhere, if no request runs under it."""

    @abstractmethod
    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Record that an incarnation and all earlier ones have ended."""


@dataclass
class _Waiter:
    """A thread that waits for the reply to a forwarded claim."""

    done: threading.Event = field(default_factory=threading.Event)
    reply: ClaimReply | None = None


@dataclass(frozen=True)
class _UnconfirmedOutcome:
    """A forwarded outcome that the home has not confirmed."""

    shard: str
    record: ClaimRecord
    sent_at: float


class ClaimForwarder:
    """Forwards the claims of one instance and serves those of others."""

    def __init__(
        self,
        transport: PeerTransport,
        host: ClaimHost,
        instance: str,
        clock: Callable[[], float],
    ):
        self.transport = transport
        self.host = host
        self.instance = instance
        self.clock = clock
        self.undecoded = 0
        self._waiters = {}
        self._unconfirmed = {}
        self._backoff_until = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="claim-outcomes", daemon=True
        )
        transport.subscribe(Channel.CLAIMS, self._on_message)
        self._thread.start()

    def home(self, shard: str) -> str | None:
        """Return the shard's home if that is another, reachable instance."""
        names = [m.instance for m in self.transport.members() if not m.leaving]
        best = max(names, key=lambda n: rendezvous_score(shard, n), default=None)
        if best == self.instance or self._is_backing_off(best):
            return None
        return best

    def claim(self, home: str, shard: str, record: ClaimRecord) -> ClaimAnswer | None:
        """Forward a claim; return None if no reply came in time."""
        start_by = self.clock() + MAX_START_DELAY_S
        waiter = _Waiter()
        with self._lock:
            self._waiters[record.nonce] = waiter
        self._send(home, ForwardedClaim(shard, record))
        waiter.done.wait(REPLY_TIMEOUT_S)
        with self._lock:
            del self._waiters[record.nonce]
        if waiter.reply is None:
            self._backoff_until[home] = self.clock() + BACKOFF_S
            return None
        return waiter.reply.answer or Claim(shard, record, start_by)

    def forward_outcome(self, home: str, shard: str, record: ClaimRecord) -> None:
        """Forward an outcome; record it locally if it is not confirmed."""
        with self._lock:
            self._unconfirmed[record.nonce] = _UnconfirmedOutcome(
                shard, record, self.clock()
            )
        self._send(home, ForwardedOutcome(shard, record))

    def stop(self) -> None:
        """Stop the thread; record unconfirmed outcomes locally."""
        self._stopped.set()
        self._thread.join(1.0)
        self._record_unconfirmed(-1.0)

    def _is_backing_off(self, instance):
        return self.clock() < self._backoff_until.get(instance, 0.0)

    def _send(self, instance, message: ClaimMessage):
        body = encode_claim_message(message)
        self.transport.send(instance, Channel.CLAIMS, body)

    def _run(self):
        while not self._stopped.wait(OUTCOME_TIMEOUT_S / 2):
            self._record_unconfirmed(OUTCOME_TIMEOUT_S)

    def _record_unconfirmed(self, age_s):
        now = self.clock()
        with self._lock:
            late = [o for o in self._unconfirmed.values() if now - o.sent_at > age_s]
            for outcome in late:
                del self._unconfirmed[outcome.record.nonce]
        for outcome in late:
            self.host.record_outcome(outcome.shard, outcome.record)

    def _on_message(self, received: PeerMessage):
        try:
            message = decode_claim_message(received.body)
        except ClaimMessageError:
            self.undecoded += 1
            return
        sender = received.sender
        match message:
            case ForwardedClaim(shard=shard, record=record):
                self.host.mark_gone(sender, received.sender_incarnation - 1)
                self.host.submit(shard, record, self._replier(sender, record.nonce))
            case ForwardedOutcome(shard=shard, record=record):
                if self.host.record_outcome(shard, record):
                    self._send(sender, OutcomeConfirmed(record.nonce))
            case ClaimReply(nonce=nonce):
                self._on_reply(nonce, message)
            case OutcomeConfirmed(nonce=nonce):
                with self._lock:
                    self._unconfirmed.pop(nonce, None)

    def _replier(self, instance, nonce):
        def reply(answer):
            answer_to_send = None if isinstance(answer, Claim) else answer
            self._send(instance, ClaimReply(nonce, answer_to_send))

        return reply

    def _on_reply(self, nonce, message):
        with self._lock:
            waiter = self._waiters.get(nonce)
            if waiter is not None:
                waiter.reply = message
                waiter.done.set()
        if waiter is None and message.answer is None:
            self.host.reject_ownership(nonce)
