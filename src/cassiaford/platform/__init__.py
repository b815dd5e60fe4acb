"""The adapter to the users' platform: it translates, and decides nothing."""

from cassiaford.platform._start import create_adapter, main

__all__ = ["create_adapter", "main"]
