"""Rendering of the time line as text and as a self-contained HTML page."""

import datetime
import html
from collections.abc import Sequence

from cassiaford.timeline._document import GatheredRecord

_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>cassiaford time line</title>
<style>
body {{ font: 13px monospace; margin: 1em; }}
table {{ border-collapse: collapse; }}
th, td {{ text-align: left; padding: 2px 8px; vertical-align: top; }}
tr:nth-child(even) {{ background: #f2f2f2; }}
</style></head><body>
<h1>Time line</h1><p>{count} events</p>
<table><tr>{header}</tr>
{rows}
</table></body></html>
"""
_COLUMNS = ("time (UTC)", "instance", "revision", "event", "subject", "details")


def text_line(record: GatheredRecord) -> str:
    """Return a record as one line of text."""
    pairs = " ".join(
        part for part in (_format_subject(record), _format_details(record)) if part
    )
    line = (
        f"{_format_time(record)} {record.instance:<12} CF{record.number} {record.text}"
    )
    return f"{line} {pairs}".rstrip()


def html_page(records: Sequence[GatheredRecord]) -> str:
    """Return records as one self-contained HTML page."""
    header = "".join(f"<th>{name}</th>" for name in _COLUMNS)
    rows = "\n".join(_html_row(record) for record in records)
    return _PAGE.format(count=len(records), header=header, rows=rows)


def _html_row(record):
    cells = (
        _format_time(record),
        record.instance,
        record.revision,
        f"CF{record.number} {record.text}",
        _format_subject(record),
        _format_details(record),
    )
    return "<tr>" + "".join(f"<td>{html.escape(str(c))}</td>" for c in cells) + "</tr>"


def _format_time(record):
    moment = datetime.datetime.fromtimestamp(record.wall_ms / 1000, datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S}.{record.wall_ms % 1000:03d}+{record.counter}"


def _format_subject(record):
    fields = (
        ("request", record.request_id),
        ("customer", record.customer),
        ("server", record.server),
    )
    return " ".join(f"{name}={value}" for name, value in fields if value)


def _format_details(record):
    return " ".join(f"{name}={value}" for name, value in record.details.items())
