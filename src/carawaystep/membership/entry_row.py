"""Stored form of a heartbeat, a row of the table ``entries``."""

from __future__ import annotations

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins
from msgspec import ValidationError
from result import Err
from result import Ok
from result import Result

from carawaystep.membership.entry_record import EntryRecord


class EntryRow(Struct, frozen=True):
    """The JSON value of a row; its fields are those of ``EntryRecord``."""

    name: str
    incarnation: str
    availability_zone: str
    http_url: str
    peer_address: str
    documents_revision: int
    draining: bool
    beat: int

    @classmethod
    def from_record(cls, record: EntryRecord) -> EntryRow:
        """Build the stored form of a record."""
        return cls(
            record.name,
            record.incarnation,
            record.availability_zone,
            record.http_url,
            record.peer_address,
            record.documents_revision,
            record.draining,
            record.beat,
        )

    @classmethod
    def parse(cls, value: object) -> Result[EntryRecord, str]:
        """Validate a row and build its record.

        :param value: JSON value of the row
        :returns: the record, or a description of the first error
        """
        try:
            row = convert(value, cls)
        except ValidationError as exc:
            return Err(str(exc))
        return Ok(
            EntryRecord(
                row.name,
                row.incarnation,
                row.availability_zone,
                row.http_url,
                row.peer_address,
                row.documents_revision,
                row.draining,
                row.beat,
            )
        )

    def to_value(self) -> object:
        """Return the row as JSON-compatible Python objects."""
        return to_builtins(self)
