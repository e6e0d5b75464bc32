"""Value of a row of the table ``request_keys``."""

from __future__ import annotations

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins
from msgspec import ValidationError
from result import Err
from result import Ok
from result import Result


class RequestKeyRow(Struct, frozen=True):
    """State of a non-idempotent key.

    :param request_id: request that claimed it last
    :param state: claimed, released or finished
    :param outcome: what the caller was told, empty while claimed
    :param reason: reason beside the outcome
    :param detail: sentence for the caller
    :param body: the answer as Latin-1 text
    """

    request_id: str
    state: str
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    body: str = ""

    @classmethod
    def parse(cls, value: object) -> Result[RequestKeyRow, str]:
        """Validate a row's value."""
        try:
            return Ok(convert(value, cls))
        except ValidationError as exc:
            return Err(str(exc))

    def to_value(self) -> object:
        """Return the JSON value."""
        return to_builtins(self)
