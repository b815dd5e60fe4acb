"""Runs every measurement with one seed: ``python -m bench --seed 1``.

A measurement that cannot be imported counts as failed, like one that raises.
"""

import importlib
import sys

import typer

# Each module has a function main(argv) that takes ``--seed``.
MEASUREMENTS = (
    "bench.placement",
    "bench.fairness",
    "bench.placement_cost",
    "bench.rates",
    "bench.claims",
    "bench.membership",
    "bench.configuration",
    "bench.relay",
)


def run_all(seed: int = 1) -> None:
    """Run each measurement and print at the end which of them failed."""
    failed = [name for name in MEASUREMENTS if not _succeeds(name, seed)]
    for name in failed:
        print(f"FAILED {name}")
    sys.exit(1 if failed else 0)


def _succeeds(name: str, seed: int) -> bool:
    print(f"\n== {name} --seed {seed}", flush=True)
    try:
        importlib.import_module(name).main(["--seed", str(seed)])
    except Exception as error:
        print(f"{type(error).__name__}: {error}")
        return False
    return True


if __name__ == "__main__":
    typer.run(run_all)
