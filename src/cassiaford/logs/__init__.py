"""Numbered events and the log lines that carry them."""

from cassiaford.logs._bounded import NonBlockingStream
from cassiaford.logs._catalogue import Event, Level
from cassiaford.logs._output import configure_logging, write_line

__all__ = ["NonBlockingStream", "Event", "Level", "configure_logging", "write_line"]
