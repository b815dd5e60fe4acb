"""The messages between instances about shares of a customer's budget."""

from dataclasses import dataclass

from cassiaford.policy._owners import Ledger


@dataclass(frozen=True)
class ReturnedLoan:
    """A loan that the borrower returns, with the number of unused tokens."""

    loan: int
    unused: float


@dataclass(frozen=True)
class LoanRequest:
    """Requests tokens of a customer from an owner.

    `loan` is the loan's number; the numbers of a borrower always increase.
    `returned` are loans of the same owner that the borrower returns; `refund`
    is the number of tokens that requests were charged but did not use.
    """

    customer: str
    loan: int
    tokens: float
    refund: float = 0.0
    returned: tuple[ReturnedLoan, ...] = ()


@dataclass(frozen=True)
class LoanGrant:
    """Grants a loan, perhaps of no tokens; `level` is the owner's new level."""

    customer: str
    loan: int
    tokens: float
    level: float


@dataclass(frozen=True)
class LedgerPoll:
    """Reports the epoch of the sender's ledger and requests the receiver's.

    The reply repeats `number`, which distinguishes replies to polls from before
    a pause from later ones.
    """

    number: int
    epoch: int


@dataclass(frozen=True)
class LedgerReport:
    """Reports the epoch of the ledger that the sender applies, in reply to a poll.

    `ledger` is set if the poll named a lower epoch. `confirmed` is false if the
    sender was paused and may have missed a later ledger.
    """

    number: int
    epoch: int
    confirmed: bool
    ledger: Ledger | None = None


ShareMessage = LoanRequest | LoanGrant | LedgerPoll | LedgerReport


@dataclass(frozen=True)
class SendShareMessage:
    """A request to the caller to send a message to an instance."""

    instance: str
    message: ShareMessage
