"""Simulation of engines and instances in virtual time."""

from bench.model._engine import EngineParameters, FakeEngine, Job
from bench.model._fleet import Fleet, FleetParameters, RequestRecord
from bench.model._schedule import Schedule

__all__ = [
    "EngineParameters",
    "FakeEngine",
    "Fleet",
    "FleetParameters",
    "Job",
    "RequestRecord",
    "Schedule",
]
