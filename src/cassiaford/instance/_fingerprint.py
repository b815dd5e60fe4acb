"""Fingerprints by which repeated requests are recognized."""

from cassiaford.pipeline import AdmittedRequest
from cassiaford.suspects import request_fingerprint


def fingerprint(request: AdmittedRequest) -> str:
    """Return the fingerprint of a request, the same on all instances."""
    caller = request.authenticated.caller
    return request_fingerprint(
        request.customer_name, caller.method, caller.target, caller.body
    )
