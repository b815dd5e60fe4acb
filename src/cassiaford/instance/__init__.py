"""An entry instance of the router, and the HTTP server for its callers."""

from cassiaford.instance._http import CallerServer, HttpExchange
from cassiaford.instance._instance import Instance, create_instance

__all__ = ["CallerServer", "HttpExchange", "Instance", "create_instance"]
