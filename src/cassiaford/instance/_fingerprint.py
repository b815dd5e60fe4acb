"""Fingerprints by which repeated requests are recognized."""

import xxhash

from cassiaford.pipeline import AdmittedRequest


def fingerprint(request: AdmittedRequest) -> str:
    """Return a hash of a request's customer, method, target and body.

    The same request has the same fingerprint on all instances.
    """
    caller = request.authenticated.caller
    digest = xxhash.xxh3_128()
    for text in (request.customer_name, caller.method, caller.target):
        digest.update(_with_length(text.encode("utf-8", "surrogateescape")))
    digest.update(_with_length(caller.body))
    return digest.hexdigest()


def _with_length(data):
    return len(data).to_bytes(8, "big") + data
