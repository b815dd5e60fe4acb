"""The verdict on whether a request has run."""

import enum
from collections.abc import Iterable


class Verdict(enum.Enum):
    """Whether a request has run on a backend server.

    `NOT_RUN` requires that no byte of the request was written to a backend
    server's socket, or that the server itself stated that it did not start the
    request. `RAN` means that a complete response arrived. Any other request is
    `MAY_HAVE_RUN`.

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

    An attempt that ran decides the verdict; otherwise a single attempt that may
    have run outweighs any number of attempts that did not run.

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
