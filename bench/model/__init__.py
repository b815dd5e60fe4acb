"""A small model of engines and instances in virtual time."""

from bench.model._engine import EngineFigures, FakeEngine, Job
from bench.model._fleet import Fleet, FleetFigures, RequestRecord
from bench.model._schedule import Schedule

__all__ = [
    "EngineFigures",
    "FakeEngine",
    "Fleet",
    "FleetFigures",
    "Job",
    "RequestRecord",
    "Schedule",
]
