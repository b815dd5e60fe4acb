"""Measures the slopes and refreshes the tables in docs/CAPACITY.md."""

import datetime
import json
import os
import pathlib
import re
from dataclasses import asdict

import typer

from bench.capacity._model import Measured, Row
from bench.capacity._rows import measure

RESULTS = pathlib.Path("bench-results")
PAGE = pathlib.Path("docs/CAPACITY.md")
BEGIN = "<!-- tables: begin -->"
END = "<!-- tables: end -->"


def run(seed: int = 1) -> None:
    """Measure, write the results as JSON, and refresh the page."""
    measured = measure(seed, lambda part: print(f"measuring {part}", flush=True))
    RESULTS.mkdir(exist_ok=True)
    document = json.dumps(asdict(measured), indent=1)
    (RESULTS / "capacity.json").write_text(document + "\n", "utf-8")
    tables = _tables(measured, seed)
    print(tables)
    page = PAGE.read_text("utf-8")
    pattern = re.compile(f"{BEGIN}.*{END}", re.S)
    refreshed = pattern.sub(lambda _: f"{BEGIN}\n{tables}\n{END}", page)
    PAGE.write_text(refreshed, "utf-8")


def _tables(measured: Measured, seed: int) -> str:
    load = os.getloadavg()[0]
    date = datetime.datetime.now(datetime.UTC).date()
    lines = [
        f"Measured {date} by `make capacity`, seed {seed}, on a machine of"
        f" {os.cpu_count()} cores with a load average of {load:.1f}.",
        "",
        "| slope | measured | line | worst error |",
        "| --- | --- | --- | --- |",
        *(_slope_row(line) for line in measured.lines),
        "",
        "| role, one instance | memory | share of a core | B/s | writes/s, fleet |"
        " reads/s, fleet | fits | note |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        *(_cost_row(row) for row in measured.rows),
    ]
    return "\n".join(lines)


def _slope_row(line):
    slope = line.slope
    points = ", ".join(f"{p.value:.3g} at {p.size:g}" for p in slope.points)
    formula = f"{slope.base:.3g} + {slope.per_unit:.3g} n"
    return (
        f"| {line.what} ({line.unit}) | {points} | {formula} |"
        f" {slope.worst_error:.0%} |"
    )


def _cost_row(row: Row) -> str:
    memory = "" if row.memory_bytes is None else f"{row.memory_bytes / 1e6:.2f} MB"
    core = "" if row.core_share is None else f"{row.core_share:.3%}"
    cells = [
        row.role,
        memory,
        core,
        _number(row.bytes_per_s),
        _number(row.writes_per_s),
        _number(row.reads_per_s),
        "yes" if row.fits else "**no**",
        row.note,
    ]
    return "| " + " | ".join(cells) + " |"


def _number(value):
    return "" if value is None else f"{value:,.3g}" if value < 100 else f"{value:,.0f}"


if __name__ == "__main__":
    typer.run(run)
