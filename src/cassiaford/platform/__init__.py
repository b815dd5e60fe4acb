"""The adapter to the users' platform: it translates, and decides nothing."""

from cassiaford.platform._start import create_world, main

__all__ = ["create_world", "main"]
