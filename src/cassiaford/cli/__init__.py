"""The command line."""

from cassiaford.cli import _serve  # noqa: F401
from cassiaford.cli._app import app, main

__all__ = ["app", "main"]
