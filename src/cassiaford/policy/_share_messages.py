"""What instances tell each other about shares of a customer's budget."""

from dataclasses import dataclass

from cassiaford.policy._owners import Ledger


@dataclass(frozen=True)
class ReturnedLoan:
    """A loan that the borrower has given up, with the tokens it did not use."""

    loan: int
    unused: float


@dataclass(frozen=True)
class LoanRequest:
    """Asks an owner for tokens of a customer.

    The borrower never uses a `loan` number twice and sends rising ones.
    `returned` are loans of the same owner that the borrower holds no more;
    `refund` are tokens of requests that used less than was charged.
    """

    customer: str
    loan: int
    tokens: float
    refund: float = 0.0
    returned: tuple[ReturnedLoan, ...] = ()


@dataclass(frozen=True)
class LoanGrant:
    """Lends tokens, perhaps none; `level` is what the owner has left."""

    customer: str
    loan: int
    tokens: float
    level: float


@dataclass(frozen=True)
class LedgerPoll:
    """Tells the epoch of the sender's ledger and asks for the receiver's.

    `number` comes back in the answer, so that an answer from before a pause
    is told from one after it.
    """

    number: int
    epoch: int


@dataclass(frozen=True)
class LedgerReport:
    """Tells the epoch that the sender acts by, in answer to a poll.

    `ledger` is set if the asking instance's epoch was lower. `sure` is false
    if the sender itself was paused and has not yet heard what it missed.
    """

    number: int
    epoch: int
    confirmed: bool
    ledger: Ledger | None = None


ShareMessage = LoanRequest | LoanGrant | LedgerPoll | LedgerReport


@dataclass(frozen=True)
class SendShareMessage:
    """Asks the shell to send a message to an instance."""

    instance: str
    message: ShareMessage
