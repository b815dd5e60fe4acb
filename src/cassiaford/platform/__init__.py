"""The adapter to the users' platform: it translates, and decides nothing."""

from cassiaford.platform._start import main

__all__ = ["main"]
