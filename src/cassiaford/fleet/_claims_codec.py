"""The encoding of a shard of claims in the key-value service.

The first line lists the sealed segments; each further line is one claim. Every
line is a JSON array, so that operators can read a shard and later releases can
append fields.
"""

import base64
import json
from collections.abc import Mapping

from cassiaford.policy import ClaimRecord, ClaimState, SealedSegment, ShardState
from cassiaford.verdict import Verdict


def encode_shard(state: ShardState) -> bytes:
    """Encode a shard: its sealed segments, then its records."""
    sealed = [[segment.name, segment.newest] for segment in state.sealed]
    head = json.dumps(sealed, separators=(",", ":")).encode()
    return head + b"\n" + encode_segment(state.records)


def decode_shard(value: bytes | None) -> ShardState:
    """Decode the value of a shard; an absent one is an empty shard."""
    if not value:
        return ShardState()
    head, _, rest = value.partition(b"\n")
    sealed = tuple(SealedSegment(*fields[:2]) for fields in json.loads(head))
    return ShardState(decode_segment(rest), sealed)


def encode_segment(records: Mapping[str, ClaimRecord]) -> bytes:
    """Encode the records of a segment."""
    return b"\n".join(encode_record(record) for record in records.values())


def decode_segment(value: bytes) -> dict[str, ClaimRecord]:
    """Decode the value of a segment to its records by key."""
    if not value:
        return {}
    records = [decode_record(line) for line in value.split(b"\n")]
    return {record.key: record for record in records}


def encode_record(record: ClaimRecord) -> bytes:
    """Encode a record as one line of a shard or segment."""
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
    """Decode a line; fields appended by later releases are ignored."""
    record = ClaimRecord(*json.loads(line)[:13])
    values = dict(vars(record))
    values["state"] = ClaimState(record.state)
    values["verdict"] = Verdict(record.verdict)
    values["body"] = base64.b64decode(record.body)
    return ClaimRecord(**values)
