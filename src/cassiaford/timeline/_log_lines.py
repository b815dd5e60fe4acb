"""Parsing of records from the log lines of gateways.

A log line has only its machine's wall-clock time, and clocks differ by seconds.
The offsets are estimated from events that all instances log at nearly the same
time: each configuration and each named version reaches them within a fraction of
a second.
"""

import json
import re
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import replace

from cassiaford.logs import Event
from cassiaford.timeline._document import GatheredRecord

_MESSAGE = re.compile(r"CF(\d+) (.*)")
_SUBJECT_FIELDS = ("request_id", "customer", "server")
# The detail that identifies an occurrence of each fleet-wide event, by number.
_FLEET_WIDE_EVENTS = {
    Event.REVISION_IN_FORCE.number: "configuration",
    Event.VERSION_NAMED.number: "version",
}


def parse_log_line(line: str) -> GatheredRecord | None:
    """Return the record in a log line, or None if there is none.

    Text before the JSON object, such as a collector's prefix, is ignored.

    Examples
    --------
    >>> record = parse_log_line(
    ...     'entry-1 {"time": 2.5, "message": "CF1002 instance ready to serve",'
    ...     ' "instance": "entry-1", "configuration": 3}'
    ... )
    >>> record.number, record.wall_ms, record.revision
    (1002, 2500, 3)
    """
    start = line.find("{")
    try:
        fields = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        # The line was truncated, or another program wrote it.
        return None
    if not isinstance(fields, dict) or "time" not in fields:
        return None
    message = _MESSAGE.match(str(fields.pop("message", "")))
    if message is None:
        return None
    fields.pop("level", None)
    return GatheredRecord(
        wall_ms=round(float(fields.pop("time")) * 1000),
        counter=0,
        instance=str(fields.pop("instance", "")),
        incarnation=0,
        revision=int(fields.pop("configuration", 0)),
        number=int(message[1]),
        text=message[2],
        **{name: str(fields.pop(name, "")) for name in _SUBJECT_FIELDS},
        details={name: str(value) for name, value in fields.items()},
    )


def clock_offsets(records: Sequence[GatheredRecord]) -> dict[str, int]:
    """Return how far each instance's clock is ahead, in milliseconds.

    The reference is the median of all instances.
    """
    times_by_event: dict[tuple[int, str], dict[str, int]] = {}
    for record in records:
        name = _FLEET_WIDE_EVENTS.get(record.number)
        if name is not None:
            value = record.details.get(name, str(record.revision))
            times_ms = times_by_event.setdefault((record.number, value), {})
            times_ms.setdefault(record.instance, record.wall_ms)
    offsets_ms: dict[str, list[float]] = {}
    for times_ms in times_by_event.values():
        if len(times_ms) > 1:
            median_ms = statistics.median(times_ms.values())
            for instance, wall_ms in times_ms.items():
                offsets_ms.setdefault(instance, []).append(wall_ms - median_ms)
    return {name: round(statistics.median(ms)) for name, ms in offsets_ms.items()}


def read_log_lines(lines: Iterable[str]) -> list[GatheredRecord]:
    """Return the records in log lines, sorted by time with aligned clocks.

    Records of one instance with equal times keep the order of their lines.
    """
    records = [record for line in lines if (record := parse_log_line(line))]
    offsets_ms = clock_offsets(records)
    aligned = [
        replace(r, wall_ms=r.wall_ms - offsets_ms.get(r.instance, 0)) for r in records
    ]
    return sorted(aligned, key=lambda record: record.wall_ms)
