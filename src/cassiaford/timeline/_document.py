"""Records as they travel: from an instance's journal to whoever gathers them.

A gathered record names its event by number and text, since the instance that
wrote it may run another release with other events.
"""

from collections.abc import Iterable, Mapping

from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from cassiaford.timeline._journal import Record


@dataclass(frozen=True)
class GatheredRecord:
    """A record of some instance's journal."""

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


class BadRecordError(ValueError):
    """A document that is not a record."""


def to_gathered_record(record: Record) -> GatheredRecord:
    """Return a record of this process in the form in which it travels."""
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
    """Return the JSON document of a record."""
    return _ADAPTER.dump_python(record, mode="json")


def parse_record(document: object) -> GatheredRecord:
    """Return the record in a JSON document; raise `BadRecordError` if none."""
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise BadRecordError(str(error)) from None


def merge(records: Iterable[GatheredRecord]) -> list[GatheredRecord]:
    """Return records in an order in which no effect precedes its cause."""
    return sorted(
        records, key=lambda record: (record.wall_ms, record.counter, record.instance)
    )
