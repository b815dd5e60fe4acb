"""Records of the requests that a backend server stand-in started or rejected.

Tests read them to check what really ran. Kept in a file, they survive a kill
of the process.
"""

import json
from dataclasses import asdict, dataclass

from standins._http import Request


@dataclass(frozen=True)
class RunRecord:
    """One request as the backend server received it.

    `version` is the version of the weights with which an engine started it.
    """

    request_id: str
    idempotency_key: str
    path: str
    headers: dict[str, str]
    started: bool
    version: str = ""


class RunRecords:
    """The records of one process, in memory and optionally in a file."""

    def __init__(self, path: str | None = None):
        self.records: list[RunRecord] = []
        self.file = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def add(self, request: Request, started: bool, version: str = "") -> None:
        """Record a started or rejected request."""
        record = RunRecord(
            request_id=request.headers.get("x-request-id", ""),
            idempotency_key=request.headers.get("idempotency-key", ""),
            path=request.path,
            headers=request.headers,
            started=started,
            version=version,
        )
        self.records.append(record)
        if self.file:
            self.file.write(json.dumps(asdict(record)) + "\n")

    def to_json(self, started: bool) -> list[dict]:
        """Return the records of started or of rejected requests, ready for JSON."""
        return [asdict(record) for record in self.records if record.started is started]


def read_records(path: str) -> list[RunRecord]:
    """Return the records in a file; skip a line that a crash left incomplete."""
    records = []
    with open(path) as file:
        for line in file:
            if line.endswith("\n"):
                records.append(RunRecord(**json.loads(line)))
    return records
