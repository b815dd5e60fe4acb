"""The way of a request: receive, authenticate, admit, claim, place, forward,
relay, settle.
"""

from cassiaford.pipeline._dispatch import Dispatcher, create_dispatcher
from cassiaford.pipeline._suspects import SuspectRegister

__all__ = ["Dispatcher", "SuspectRegister", "create_dispatcher"]
