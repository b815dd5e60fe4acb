"""Verdicts on whether a request has run, and the refusals that state them."""

from cassiaford.verdict._failure import Failure
from cassiaford.verdict._refusal import Refusal, RefusalReason, refuse
from cassiaford.verdict._verdict import Verdict, combine

__all__ = ["Failure", "Refusal", "RefusalReason", "Verdict", "combine", "refuse"]
