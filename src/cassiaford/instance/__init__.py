"""One entry instance: its parts wired together, and its HTTP server."""

from cassiaford.instance._http import CallerServer, Exchange
from cassiaford.instance._instance import Instance, create_instance

__all__ = ["CallerServer", "Exchange", "Instance", "create_instance"]
