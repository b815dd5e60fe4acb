"""The encoding of share messages between peers and of the stored ledger."""

import math

import capnp

from cassiaford._schemas import load_schema
from cassiaford.policy import (
    Holder,
    Ledger,
    LedgerPoll,
    LedgerReport,
    LoanGrant,
    LoanRequest,
    ReturnedLoan,
    ShareMessage,
)

_schema = load_schema(__file__, "rates.capnp")


class ShareCodecError(ValueError):
    """A message or ledger that cannot be decoded."""


def encode_message(message: ShareMessage) -> bytes:
    """Encode a share message."""
    builder = _schema.ShareMessage.new_message()
    match message:
        case LoanRequest():
            _fill_ask(builder.init("ask"), message)
        case LoanGrant():
            grant = builder.init("grant")
            grant.customer = message.customer
            grant.loan = message.loan
            grant.tokens = message.tokens
            grant.level = message.level
        case LedgerPoll():
            poll = builder.init("poll")
            poll.number = message.number
            poll.epoch = message.epoch
        case LedgerReport():
            report = builder.init("report")
            report.number = message.number
            report.epoch = message.epoch
            report.sure = message.confirmed
            if message.ledger is not None:
                _fill_ledger(report.init("ledger"), message.ledger)
    return builder.to_bytes_packed()


def decode_message(body: bytes) -> ShareMessage:
    """Decode a share message; raises `ShareCodecError`."""
    try:
        reader = _schema.ShareMessage.from_bytes_packed(body)
        return _message(reader)
    except (capnp.KjException, ValueError) as error:
        raise ShareCodecError(str(error)) from error


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode the ledger for the key-value service."""
    builder = _schema.Ledger.new_message()
    _fill_ledger(builder, ledger)
    return builder.to_bytes_packed()


def decode_ledger(value: bytes | None) -> Ledger:
    """Decode the ledger; raises `ShareCodecError`.

    An absent value is an empty ledger.
    """
    if not value:
        return Ledger()
    try:
        return _ledger(_schema.Ledger.from_bytes_packed(value))
    except (capnp.KjException, ValueError) as error:
        raise ShareCodecError(str(error)) from error


def _fill_ask(builder, ask):
    builder.customer = ask.customer
    builder.loan = ask.loan
    builder.tokens = ask.tokens
    builder.refund = ask.refund
    returned = builder.init("returned", len(ask.returned))
    for item, value in zip(returned, ask.returned, strict=True):
        item.loan = value.loan
        item.unused = value.unused


def _fill_ledger(builder, ledger):
    builder.epoch = ledger.epoch
    holders = builder.init("holders", len(ledger.holders))
    for item, value in zip(holders, ledger.holders, strict=True):
        item.instance = value.instance
        item.incarnation = value.incarnation


def _message(reader):
    match reader.which():
        case "ask":
            return _ask(reader.ask)
        case "grant":
            grant = reader.grant
            tokens, level = _amount(grant.tokens), _amount(grant.level)
            return LoanGrant(grant.customer, grant.loan, tokens, level)
        case "poll":
            return LedgerPoll(reader.poll.number, reader.poll.epoch)
        case "report":
            report = reader.report
            ledger = _ledger(report.ledger) if report.ledger.epoch else None
            return LedgerReport(report.number, report.epoch, report.sure, ledger)
        case other:
            raise ShareCodecError(f"unknown share message {other}")


def _ask(ask):
    returned = tuple(
        ReturnedLoan(item.loan, _amount(item.unused)) for item in ask.returned
    )
    tokens, refund = _amount(ask.tokens), _amount(ask.refund)
    return LoanRequest(ask.customer, ask.loan, tokens, refund, returned)


def _ledger(reader):
    holders = tuple(Holder(h.instance, h.incarnation) for h in reader.holders)
    return Ledger(reader.epoch, holders)


def _amount(value):
    if not math.isfinite(value) or value < 0:
        raise ShareCodecError(f"invalid number of tokens: {value}")
    return value
