"""The catalogue of numbered events, and the output of log lines."""

from cassiaford.logs._catalogue import Event, Level
from cassiaford.logs._non_blocking import NonBlockingStream
from cassiaford.logs._output import configure_logging, write_line

__all__ = ["NonBlockingStream", "Event", "Level", "configure_logging", "write_line"]
