"""Where streams began, and who may continue them: decisions without any I/O.

Different software versions of a service generate different text, so a stream
stays with the version that began it. Both kinds of entry instance use this.
"""

from cassiaford.origins._origin import StreamOrigin, may_continue, origin_of

__all__ = ["StreamOrigin", "may_continue", "origin_of"]
