"""Comparison of placement with its baselines: ``python -m bench.placement``."""

import json
import pathlib
from collections.abc import Sequence
from dataclasses import asdict

import typer

from bench.placement_cases import POLICIES, SCENARIOS, all_cases, run_cases
from bench.placement_report import Comparison, goals, print_goals, print_table
from bench.workloads import WORKLOADS

RESULTS = pathlib.Path("bench-results")
DEFAULT_SEED_COUNT = 5
PLOT_INCHES = (10, 7)
PLOT_DPI = 120


def main(argv: Sequence[str] | None = None) -> None:
    """Run the measurement with these arguments, by default those of the process."""
    app = typer.Typer(add_completion=False)
    app.command()(_measure)
    app(args=argv, standalone_mode=False)


def _measure(seed: int = 1, seeds: int = DEFAULT_SEED_COUNT) -> None:
    """Compare all policies on all workloads and scenarios; `seed` is the first seed."""
    comparison = Comparison(run_cases(all_cases(seed, seeds)))
    evaluated_goals = goals(comparison)
    print_table(comparison)
    print(f"\nGoals, median (range) over {seeds} seeds from {seed}:")
    print_goals(evaluated_goals)
    RESULTS.mkdir(exist_ok=True)
    document = {
        "seed": seed,
        "seeds": seeds,
        "rows": comparison.rows(),
        "goals": [asdict(goal) for goal in evaluated_goals],
    }
    path = RESULTS / "placement.json"
    path.write_text(json.dumps(document, indent=1) + "\n", "utf-8")
    _plot(comparison, RESULTS / "placement.png")


def _plot(comparison: Comparison, path: pathlib.Path) -> None:
    # Imported here because measurements without plots don't need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, rows = pyplot.subplots(2, 2, figsize=PLOT_INCHES)
    for row, workload in zip(rows, WORKLOADS, strict=True):
        names = ("first_token_p50_s", "first_token_p99_s")
        for axes, name in zip(row, names, strict=True):
            _draw_bars(axes, comparison, workload.name, name)
    figure.tight_layout()
    figure.savefig(path, dpi=PLOT_DPI)
    pyplot.close(figure)


def _draw_bars(axes, comparison, workload, name):
    width = 1.0 / (len(POLICIES) + 1)
    for index, policy in enumerate(POLICIES):
        heights = [
            comparison.values(name, policy, workload, scenario).median
            for scenario in SCENARIOS
        ]
        positions = [number + index * width for number in range(len(SCENARIOS))]
        axes.bar(positions, heights, width, label=policy)
    axes.set_yscale("log")
    axes.set_title(f"{workload}: {name}")
    axes.set_xticks(range(len(SCENARIOS)), SCENARIOS)
    if name.endswith("p50_s"):
        axes.legend(fontsize="small")


if __name__ == "__main__":
    main()
