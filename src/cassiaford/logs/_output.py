"""Output of log lines through `absl.logging`, as text or JSON."""

import json
import logging as standard_logging
import sys

from absl import flags, logging

from cassiaford.logs._catalogue import Level

_ABSL_LEVELS = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


class _JsonFormatter(standard_logging.Formatter):
    """Formats a log record as one line of JSON."""

    def format(self, record):
        line = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        line.update(getattr(record, "event_fields", {}))
        return json.dumps(line)


class _TextFormatter(standard_logging.Formatter):
    """Formats a log record as one line of text that ends with its fields."""

    default_msec_format = "%s.%03d"

    def format(self, record):
        fields = getattr(record, "event_fields", {})
        pairs = "".join(f" {name}={_quote_if_needed(fields[name])}" for name in fields)
        time = self.formatTime(record)
        return f"{time} {record.levelname[0]} {record.getMessage()}{pairs}"


def configure_logging(line_format: str, level: str, stream=None) -> None:
    """Write log lines at or above a level to a stream, by default standard error."""
    # absl warns if a process logs before its absl flags are parsed; this program
    # has no such flags.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    formatter = _JsonFormatter() if line_format == "json" else _TextFormatter()
    handler.setFormatter(formatter)
    handler.python_handler.stream = stream or sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(_ABSL_LEVELS[Level(level)])


def write_line(level: Level, message: str, fields: dict[str, object]) -> None:
    """Write one log line with `fields` as names and values."""
    standard_logging.getLogger("absl").log(
        logging.converter.absl_to_standard(_ABSL_LEVELS[level]),
        "%s",
        message,
        extra={"event_fields": fields},
    )


def _quote_if_needed(value):
    text = str(value)
    return json.dumps(text) if not text or " " in text or "=" in text else text
