"""Stored form of an ownership, a row of the table ``owners``."""

from __future__ import annotations

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins
from msgspec import ValidationError
from result import Err
from result import Ok
from result import Result

from carawaystep.membership.ownership import Ownership

OWNERS_TABLE = "owners"


class OwnerRow(Struct, frozen=True):
    """The JSON value of a row.

    The worker is part of the row's key.

    :param entry: name of the owning entry
    :param incarnation: id of its process
    :param epoch: epoch of the ownership, increases with each owner
    """

    entry: str
    incarnation: str
    epoch: int

    @classmethod
    def from_ownership(cls, ownership: Ownership) -> OwnerRow:
        """Build the stored form of an ownership."""
        return cls(ownership.entry, ownership.incarnation, ownership.epoch)

    @classmethod
    def parse(
        cls, worker: str, value: object, version: int
    ) -> Result[Ownership, str]:
        """Validate a row and build its ownership.

        :param worker: name of the worker
        :param value: JSON value of the row
        :param version: version of the row
        :returns: the ownership, or a description of the first error
        """
        try:
            row = convert(value, cls)
        except ValidationError as exc:
            return Err(str(exc))
        return Ok(
            Ownership(worker, row.entry, row.incarnation, row.epoch, version)
        )

    def to_value(self) -> object:
        """Return the row as JSON-compatible Python objects."""
        return to_builtins(self)


def owner_key(availability_zone: str, worker: str) -> str:
    """Return the key of a worker's row: ``availability_zone/worker``."""
    return f"{availability_zone}/{worker}"
