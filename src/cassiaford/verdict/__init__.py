"""What is known about whether a request has run, and why it was refused."""

from cassiaford.verdict._failure import Failure
from cassiaford.verdict._refusal import Refusal, RefusalReason, refuse
from cassiaford.verdict._verdict import Verdict, combine

__all__ = ["Failure", "Refusal", "RefusalReason", "Verdict", "combine", "refuse"]
