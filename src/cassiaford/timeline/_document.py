"""Records of the journals of all instances, as exchanged in JSON.

A gathered record has its event as number and text, since the instance that wrote
it may run another release with other events.
"""

from collections.abc import Iterable, Mapping

from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from cassiaford.timeline._journal import Record


@dataclass(frozen=True)
class GatheredRecord:
    """A record of any instance's journal."""

    wall_ms: int
    counter: int
    instance: str
    incarnation: int
    revision: int
    number: int
    text: str
    request_id: str
    customer: str
    server: str
    details: Mapping[str, str]


_ADAPTER = TypeAdapter(GatheredRecord)


class InvalidRecordError(ValueError):
    """A document is not a valid record."""


def to_gathered_record(record: Record) -> GatheredRecord:
    """Return a record of this process as a gathered record."""
    return GatheredRecord(
        wall_ms=record.timestamp.wall_ms,
        counter=record.timestamp.counter,
        instance=record.instance,
        incarnation=record.incarnation,
        revision=record.revision,
        number=record.event.number,
        text=record.event.text,
        request_id=record.subject.request_id,
        customer=record.subject.customer,
        server=record.subject.server,
        details={detail.name: detail.value for detail in record.details},
    )


def record_document(record: GatheredRecord) -> dict[str, object]:
    """Return a record as a JSON document."""
    return _ADAPTER.dump_python(record, mode="json")


def parse_record(document: object) -> GatheredRecord:
    """Return the record in a JSON document; raise `InvalidRecordError` if none."""
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise InvalidRecordError(str(error)) from None


def merge(records: Iterable[GatheredRecord]) -> list[GatheredRecord]:
    """Return records sorted so that no effect precedes its cause."""
    return sorted(
        records, key=lambda record: (record.wall_ms, record.counter, record.instance)
    )
