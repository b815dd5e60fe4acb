"""The form of a shard of claims in the key-value service.

A line of sealed segments, then one claim a line, each a JSON array, so that
operators can read a shard and a later release can append fields.
"""

import base64
import json
from collections.abc import Mapping

from cassiaford.policy import ClaimRecord, ClaimState, SealedSegment, ShardState
from cassiaford.verdict import Verdict


def encode_shard(state: ShardState) -> bytes:
    """Return the value of a shard: the sealed segments, then the records."""
    sealed = [[segment.name, segment.newest] for segment in state.sealed]
    head = json.dumps(sealed, separators=(",", ":")).encode()
    return head + b"\n" + encode_segment(state.records)


def decode_shard(value: bytes | None) -> ShardState:
    """Return what a shard's value holds."""
    if not value:
        return ShardState()
    head, _, rest = value.partition(b"\n")
    sealed = tuple(SealedSegment(*fields[:2]) for fields in json.loads(head))
    return ShardState(decode_segment(rest), sealed)


def encode_segment(records: Mapping[str, ClaimRecord]) -> bytes:
    """Return the value of a segment."""
    return b"\n".join(encode_record(record) for record in records.values())


def decode_segment(value: bytes) -> dict[str, ClaimRecord]:
    """Return the records in a segment's value, by key."""
    if not value:
        return {}
    records = [decode_record(line) for line in value.split(b"\n")]
    return {record.key: record for record in records}


def encode_record(record: ClaimRecord) -> bytes:
    """Return one line of a shard or segment."""
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
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_record(line: bytes) -> ClaimRecord:
    """Return the record in a line; fields of later releases are left out."""
    record = ClaimRecord(*json.loads(line)[:13])
    values = dict(vars(record))
    values["state"] = ClaimState(record.state)
    values["verdict"] = Verdict(record.verdict)
    values["body"] = base64.b64decode(record.body)
    return ClaimRecord(**values)
