"""The form of a shard of claims in the key-value service.

One claim a line, each a JSON array, so that operators can read a shard and a
later release can append fields.
"""

import base64
import json
from collections.abc import Mapping

from cassiaford.policy import ClaimRecord, ClaimState
from cassiaford.verdict import Verdict


def encode_shard(records: Mapping[str, ClaimRecord]) -> bytes:
    """Return the value of a shard."""
    return "\n".join(_line(record) for record in records.values()).encode()


def decode_shard(value: bytes | None) -> dict[str, ClaimRecord]:
    """Return the records in a shard's value, by key."""
    if not value:
        return {}
    records = [_record(json.loads(line)) for line in value.split(b"\n")]
    return {record.key: record for record in records}


def _line(record):
    fields = [
        record.key,
        record.fingerprint,
        record.nonce,
        record.request_id,
        record.instance,
        record.incarnation,
        round(record.written_at, 3),
        record.state.value,
        record.verdict.value,
        record.status,
        record.content_type,
        base64.b64encode(record.body).decode(),
        record.body_kept,
    ]
    return json.dumps(fields, separators=(",", ":"))


def _record(fields):
    record = ClaimRecord(*fields[:13])
    values = dict(vars(record))
    values["state"] = ClaimState(record.state)
    values["verdict"] = Verdict(record.verdict)
    values["body"] = base64.b64decode(record.body)
    return ClaimRecord(**values)
