"""One entry instance: its parts wired together, and its HTTP server."""

from cassiaford.instance._http import CallerServer, Exchange

__all__ = ["CallerServer", "Exchange"]
