"""The verdict on a request."""

import enum
from collections.abc import Iterable


class Verdict(enum.Enum):
    """Says whether a request may have run on a backend server.

    `NOT_RUN` is claimed only if no byte of the request was handed to a socket
    towards a backend server, or if that server itself answered that it did
    not start the request. `RAN` means that its whole answer arrived. Anything
    else is `MAY_HAVE_RUN`.

    Examples
    --------
    >>> Verdict.NOT_RUN.may_retry(repeatable=False)
    True
    >>> Verdict.MAY_HAVE_RUN.may_retry(repeatable=False)
    False
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def may_retry(self, repeatable: bool) -> bool:
        """Return whether a request with this verdict may be sent again."""
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and repeatable


def combine(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the verdict on a request from the verdicts on its attempts.

    One attempt that ran settles the matter; one that may have run leaves the
    request in doubt, however many others did not run.

    Examples
    --------
    >>> combine([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    <Verdict.MAY_HAVE_RUN: 'may_have_run'>
    """
    seen = set(verdicts)
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in seen:
            return verdict
    return Verdict.NOT_RUN
