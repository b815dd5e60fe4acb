"""What makes two arrivals the same request."""

import xxhash

from cassiaford.pipeline import AdmittedRequest


def fingerprint(request: AdmittedRequest) -> str:
    """Return the fingerprint of a request: its customer and what it asks.

    The same request sent again, through whichever instance, has the same one.
    """
    caller = request.authenticated.caller
    digest = xxhash.xxh3_128()
    for text in (request.customer_name, caller.method, caller.target):
        digest.update(_with_length(text.encode("utf-8", "surrogateescape")))
    digest.update(_with_length(caller.body))
    return digest.hexdigest()


def _with_length(part):
    return len(part).to_bytes(8, "big") + part
