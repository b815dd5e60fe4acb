"""The adapter for the users' platform: it translates formats, without any policy."""

from cassiaford.platform._start import create_adapter, main

__all__ = ["create_adapter", "main"]
