"""The command line."""

from cassiaford.cli._app import app, main

__all__ = ["app", "main"]
