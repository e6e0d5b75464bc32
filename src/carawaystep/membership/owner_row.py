"""Value of a row of the table ``owners``."""

from __future__ import annotations

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins
from msgspec import ValidationError
from result import Err
from result import Ok
from result import Result

from carawaystep.membership.ownership import Ownership

TABLE = "owners"


class OwnerRow(Struct, frozen=True):
    """An ownership as it is stored."""

    entry: str
    incarnation: str
    epoch: int

    @classmethod
    def from_ownership(cls, ownership: Ownership) -> OwnerRow:
        """Return the stored form of an ownership."""
        return cls(ownership.entry, ownership.incarnation, ownership.epoch)

    @classmethod
    def parse(
        cls, worker: str, value: object, version: int
    ) -> Result[Ownership, str]:
        """Validate a row and return its ownership.

        :param worker: name of the worker
        :param value: JSON value of the row
        :param version: version of the row
        """
        try:
            row = convert(value, cls)
        except ValidationError as exc:
            return Err(str(exc))
        return Ok(
            Ownership(worker, row.entry, row.incarnation, row.epoch, version)
        )

    def to_value(self) -> object:
        """Return the JSON value."""
        return to_builtins(self)


def owner_key(availability_zone: str, worker: str) -> str:
    """Return the key of a worker's row, prefixed by its availability zone."""
    return f"{availability_zone}/{worker}"
