"""Stored state of an idempotency key, a row of ``request_keys``."""

from __future__ import annotations

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins
from msgspec import ValidationError
from result import Err
from result import Ok
from result import Result


class RequestKeyRow(Struct, frozen=True):
    """The JSON value of a row.

    :param request_id: request that holds the claim, empty once released or
        finished
    :param state: claimed, released or finished
    :param outcome: value of the reply's ``Outcome``, empty while claimed
    :param reason: value of the reply's ``OutcomeReason``
    :param detail: the reply's message for the caller
    :param body: the answer's bytes decoded as Latin-1
    """

    request_id: str
    state: str
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    body: str = ""

    @classmethod
    def parse(cls, value: object) -> Result[RequestKeyRow, str]:
        """Validate the value of a row.

        :param value: JSON value of the row
        :returns: the row, or a description of the first error
        """
        try:
            return Ok(convert(value, cls))
        except ValidationError as exc:
            return Err(str(exc))

    def to_value(self) -> object:
        """Return the row as JSON-compatible Python objects."""
        return to_builtins(self)
