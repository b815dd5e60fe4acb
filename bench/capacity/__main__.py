"""Command that measures the costs and updates the tables in docs/CAPACITY.md."""

import datetime
import json
import os
import pathlib
import re
from dataclasses import asdict

import typer

from bench.capacity._report import CapacityReport, RoleCost
from bench.capacity._rows import measure

RESULTS = pathlib.Path("bench-results")
PAGE = pathlib.Path("docs/CAPACITY.md")
TABLES_BEGIN = "<!-- tables: begin -->"
TABLES_END = "<!-- tables: end -->"


def run(seed: int = 1) -> None:
    """Measure the costs, write them as JSON, and update the page."""
    report = measure(seed, lambda part: print(f"measuring {part}", flush=True))
    RESULTS.mkdir(exist_ok=True)
    document = json.dumps(asdict(report), indent=1)
    (RESULTS / "capacity.json").write_text(document + "\n", "utf-8")
    tables = _tables(report, seed)
    print(tables)
    page = PAGE.read_text("utf-8")
    pattern = re.compile(f"{TABLES_BEGIN}.*{TABLES_END}", re.S)
    updated = pattern.sub(lambda _: f"{TABLES_BEGIN}\n{tables}\n{TABLES_END}", page)
    PAGE.write_text(updated, "utf-8")


def _tables(report: CapacityReport, seed: int) -> str:
    load = os.getloadavg()[0]
    date = datetime.datetime.now(datetime.UTC).date()
    lines = [
        f"Measured {date} by `make capacity`, seed {seed}, on a machine of"
        f" {os.cpu_count()} cores with a load average of {load:.1f}.",
        "",
        "| slope | measured | line | worst error |",
        "| --- | --- | --- | --- |",
        *(_slope_row(measured) for measured in report.lines),
        "",
        "| role, one instance | memory | share of a core | B/s | writes/s, fleet |"
        " reads/s, fleet | fits | note |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        *(_cost_row(cost) for cost in report.rows),
    ]
    return "\n".join(lines)


def _slope_row(measured):
    slope = measured.slope
    points = ", ".join(f"{point.value:.3g} at {point.size:g}" for point in slope.points)
    formula = f"{slope.base:.3g} + {slope.per_unit:.3g} n"
    return (
        f"| {measured.what} ({measured.unit}) | {points} | {formula} |"
        f" {slope.worst_error:.0%} |"
    )


def _cost_row(cost: RoleCost) -> str:
    memory = "" if cost.memory_bytes is None else f"{cost.memory_bytes / 1e6:.2f} MB"
    core = "" if cost.core_share is None else f"{cost.core_share:.3%}"
    cells = [
        cost.role,
        memory,
        core,
        _format_number(cost.bytes_per_s),
        _format_number(cost.writes_per_s),
        _format_number(cost.reads_per_s),
        "yes" if cost.fits else "**no**",
        cost.note,
    ]
    return "| " + " | ".join(cells) + " |"


def _format_number(value):
    return "" if value is None else f"{value:,.3g}" if value < 100 else f"{value:,.0f}"


if __name__ == "__main__":
    typer.run(run)
