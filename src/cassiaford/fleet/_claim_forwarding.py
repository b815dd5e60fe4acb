"""Forwarding claims to the one instance that writes their shard.

Which instance that is follows from the live members by a rendezvous hash. The
instances need not agree: the compare-and-swap keeps claims safe, and a claim
that is made twice, by the one that forwards and by the one that it went to,
carries one nonce. Only the instance that a request came to releases its claim.
"""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaford.fleet._claim_messages import (
    ClaimAnswered,
    ClaimMessage,
    ClaimMessageError,
    EndTaken,
    ForwardClaim,
    ForwardEnd,
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

# Without an answer in this time an instance claims by itself.
ANSWER_TIMEOUT_S = 0.1
# After that it does without the other instance for so long.
SILENCE_S = 1.0
# An outcome that is not confirmed in this time is recorded here instead.
END_TIMEOUT_S = 0.5


class ClaimHost(ABC):
    """What forwarding asks of the claims of the own instance."""

    @abstractmethod
    def submit(
        self, shard: str, record: ClaimRecord, reply: Callable[[ClaimAnswer], None]
    ) -> None:
        """Claim for another instance; do not block."""

    @abstractmethod
    def end(self, shard: str, record: ClaimRecord) -> bool:
        """Record an outcome; return whether it was taken."""

    @abstractmethod
    def disown(self, nonce: str) -> None:
        """Release an own claim, granted elsewhere, if nothing runs under it."""

    @abstractmethod
    def mark_gone(self, instance: str, incarnation: int) -> None:
        """Take note that an incarnation of an instance runs no more."""


@dataclass
class _Waiter:
    """A caller that waits for the answer to a forwarded claim."""

    done: threading.Event = field(default_factory=threading.Event)
    answered: ClaimAnswered | None = None


@dataclass(frozen=True)
class _UnconfirmedEnd:
    """An outcome that was forwarded and is not confirmed."""

    shard: str
    record: ClaimRecord
    sent_at: float


class ClaimForwarder:
    """Forwards the claims of one instance and takes those of others."""

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
        self._ends = {}
        self._silent_until = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="claim-outcomes", daemon=True
        )
        transport.subscribe(Channel.CLAIMS, self._on_message)
        self._thread.start()

    def home(self, shard: str) -> str | None:
        """Return the other instance that writes a shard, None if it is this one."""
        names = [m.instance for m in self.transport.members() if not m.leaving]
        best = max(names, key=lambda n: rendezvous_score(shard, n), default=None)
        if best == self.instance or self._is_silent(best):
            return None
        return best

    def claim(self, home: str, shard: str, record: ClaimRecord) -> ClaimAnswer | None:
        """Forward a claim; return None if no answer came in time."""
        start_by = self.clock() + MAX_START_DELAY_S
        waiter = _Waiter()
        with self._lock:
            self._waiters[record.nonce] = waiter
        self._send(home, ForwardClaim(shard, record))
        waiter.done.wait(ANSWER_TIMEOUT_S)
        with self._lock:
            del self._waiters[record.nonce]
        if waiter.answered is None:
            self._silent_until[home] = self.clock() + SILENCE_S
            return None
        return waiter.answered.answer or Claim(shard, record, start_by)

    def end(self, home: str, shard: str, record: ClaimRecord) -> None:
        """Forward an outcome; record it here if that is not confirmed."""
        with self._lock:
            self._ends[record.nonce] = _UnconfirmedEnd(shard, record, self.clock())
        self._send(home, ForwardEnd(shard, record))

    def stop(self) -> None:
        """End the thread; record here what is not confirmed."""
        self._stopped.set()
        self._thread.join(1.0)
        self._record_unconfirmed(-1.0)

    def _is_silent(self, instance):
        return self.clock() < self._silent_until.get(instance, 0.0)

    def _send(self, instance, message: ClaimMessage):
        body = encode_claim_message(message)
        self.transport.send(instance, Channel.CLAIMS, body)

    def _run(self):
        while not self._stopped.wait(END_TIMEOUT_S / 2):
            self._record_unconfirmed(END_TIMEOUT_S)

    def _record_unconfirmed(self, age_s):
        now = self.clock()
        with self._lock:
            late = [e for e in self._ends.values() if now - e.sent_at > age_s]
            for end in late:
                del self._ends[end.record.nonce]
        for end in late:
            self.host.end(end.shard, end.record)

    def _on_message(self, received: PeerMessage):
        try:
            message = decode_claim_message(received.body)
        except ClaimMessageError:
            self.undecoded += 1
            return
        sender = received.sender
        match message:
            case ForwardClaim(shard=shard, record=record):
                self.host.mark_gone(sender, received.sender_incarnation - 1)
                self.host.submit(shard, record, self._reply_to(sender, record.nonce))
            case ForwardEnd(shard=shard, record=record):
                if self.host.end(shard, record):
                    self._send(sender, EndTaken(record.nonce))
            case ClaimAnswered(nonce=nonce):
                self._on_answer(nonce, message)
            case EndTaken(nonce=nonce):
                with self._lock:
                    self._ends.pop(nonce, None)

    def _reply_to(self, instance, nonce):
        def reply(answer):
            told = None if isinstance(answer, Claim) else answer
            self._send(instance, ClaimAnswered(nonce, told))

        return reply

    def _on_answer(self, nonce, message):
        with self._lock:
            waiter = self._waiters.get(nonce)
            if waiter is not None:
                waiter.answered = message
                waiter.done.set()
        if waiter is None and message.answer is None:
            self.host.disown(nonce)
