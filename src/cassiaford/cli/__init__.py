"""The command line."""

from cassiaford.cli import _customer, _fleet, _key, _server, _sheet  # noqa: F401
from cassiaford.cli._app import app, main

__all__ = ["app", "main"]
