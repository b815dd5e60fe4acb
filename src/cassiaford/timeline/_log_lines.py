"""Records read back from the log lines of gateways.

A log line has the wall-clock time of its machine only, and clocks differ by
seconds. What all instances learn at nearly the same moment tells how far: each
configuration and each version of weights reaches them within a fraction of a
second.
"""

import json
import re
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import replace

from cassiaford.logs import Event
from cassiaford.timeline._document import GatheredRecord

_MESSAGE = re.compile(r"CF(\d+) (.*)")
_SUBJECT = ("request_id", "customer", "server")
_SHARED = {
    Event.REVISION_IN_FORCE.number: "configuration",
    Event.VERSION_NAMED.number: "version",
}


def parse_log_line(line: str) -> GatheredRecord | None:
    """Return the record of a log line, or None if it is none.

    What stands before the JSON object, such as a collector's prefix, is passed
    over.

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
        # A line that was cut, or that another program wrote.
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
        **{name: str(fields.pop(name, "")) for name in _SUBJECT},
        details={name: str(value) for name, value in fields.items()},
    )


def clock_offsets(records: Sequence[GatheredRecord]) -> dict[str, int]:
    """Return by how many milliseconds each instance's clock is ahead.

    The reference is the middle of all instances.
    """
    seen: dict[tuple[int, str], dict[str, int]] = {}
    for record in records:
        name = _SHARED.get(record.number)
        if name is not None:
            shown = record.details.get(name, str(record.revision))
            moments = seen.setdefault((record.number, shown), {})
            moments.setdefault(record.instance, record.wall_ms)
    ahead: dict[str, list[float]] = {}
    for moments in seen.values():
        if len(moments) > 1:
            middle = statistics.median(moments.values())
            for instance, wall_ms in moments.items():
                ahead.setdefault(instance, []).append(wall_ms - middle)
    return {name: round(statistics.median(d)) for name, d in ahead.items()}


def read_log_lines(lines: Iterable[str]) -> list[GatheredRecord]:
    """Return the records of log lines, in one order and on one clock.

    Records of one instance stay in the order in which they were written.
    """
    records = [record for line in lines if (record := parse_log_line(line))]
    offsets = clock_offsets(records)
    aligned = [
        replace(r, wall_ms=r.wall_ms - offsets.get(r.instance, 0)) for r in records
    ]
    return sorted(aligned, key=lambda record: record.wall_ms)
