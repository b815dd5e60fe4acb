"""The messages with which instances forward claims to each other."""

from dataclasses import dataclass

import capnp

from cassiaford._schemas import load_schema
from cassiaford.fleet._claims_codec import decode_record, encode_record
from cassiaford.policy import ClaimRecord, RecordedOutcome
from cassiaford.verdict import Refusal, RefusalReason, Verdict

_schema = load_schema(__file__, "claims.capnp")


class ClaimMessageError(ValueError):
    """A message that cannot be decoded."""


@dataclass(frozen=True)
class ForwardedClaim:
    """A request that the receiver claim for the sender."""

    shard: str
    record: ClaimRecord


@dataclass(frozen=True)
class ForwardedOutcome:
    """A request that the receiver record an outcome for the sender."""

    shard: str
    record: ClaimRecord


@dataclass(frozen=True)
class ClaimReply:
    """The reply to a forwarded claim; `answer` is None if it was granted."""

    nonce: str
    answer: RecordedOutcome | Refusal | None


@dataclass(frozen=True)
class OutcomeConfirmed:
    """A confirmation that a forwarded outcome was recorded."""

    nonce: str


ClaimMessage = ForwardedClaim | ForwardedOutcome | ClaimReply | OutcomeConfirmed


def encode_claim_message(message: ClaimMessage) -> bytes:
    """Return the body of a message to a peer."""
    builder = _schema.ClaimMessage.new_message()
    match message:
        case ForwardedClaim():
            _fill_ask(builder.init("ask"), message)
        case ForwardedOutcome():
            _fill_ask(builder.init("end"), message)
        case ClaimReply():
            _fill_answer(builder.init("answer"), message)
        case OutcomeConfirmed():
            builder.ended = message.nonce
    return builder.to_bytes_packed()


def decode_claim_message(body: bytes) -> ClaimMessage:
    """Return the message in a body; raises `ClaimMessageError`."""
    try:
        return _message(_schema.ClaimMessage.from_bytes_packed(body))
    except (capnp.KjException, ValueError, TypeError, KeyError) as error:
        raise ClaimMessageError(str(error)) from error


def _fill_ask(builder, message):
    builder.shard = message.shard
    builder.record = encode_record(message.record)


def _fill_answer(builder, message):
    builder.nonce = message.nonce
    answer = message.answer
    if answer is None:
        builder.granted = None
    elif isinstance(answer, RecordedOutcome):
        outcome = builder.init("outcome")
        outcome.requestId = answer.request_id
        outcome.status = answer.status
        outcome.contentType = answer.content_type
        outcome.body = answer.body
        outcome.bodyKept = answer.body_kept
    else:
        refusal = builder.init("refusal")
        refusal.reason = answer.reason.name
        refusal.verdict = answer.verdict.value
        refusal.message = answer.message
        refusal.mayRetry = answer.retry_after_s is not None
        refusal.retryAfterS = answer.retry_after_s or 0.0


def _message(reader):
    match reader.which():
        case "ask":
            return ForwardedClaim(reader.ask.shard, decode_record(reader.ask.record))
        case "end":
            return ForwardedOutcome(reader.end.shard, decode_record(reader.end.record))
        case "answer":
            return ClaimReply(reader.answer.nonce, _answer(reader.answer))
        case "ended":
            return OutcomeConfirmed(reader.ended)
        case other:
            raise ClaimMessageError(f"unknown claim message {other}")


def _answer(reader):
    match reader.which():
        case "granted":
            return None
        case "outcome":
            outcome = reader.outcome
            return RecordedOutcome(
                outcome.requestId,
                outcome.status,
                outcome.contentType,
                bytes(outcome.body),
                outcome.bodyKept,
            )
        case "refusal":
            refusal = reader.refusal
            return Refusal(
                RefusalReason[refusal.reason],
                Verdict(refusal.verdict),
                refusal.message,
                refusal.retryAfterS if refusal.mayRetry else None,
            )
        case other:
            raise ClaimMessageError(f"unknown claim answer {other}")
