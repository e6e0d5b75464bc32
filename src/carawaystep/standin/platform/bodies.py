"""Models of the bodies and query parameters of the platform's API."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any
from typing import Literal

from pydantic import BaseModel
from pydantic import Field
from pydantic import model_validator

from carawaystep.standin.http.body_config import BODY_CONFIG
from carawaystep.standin.platform.vm_phase import VmPhase
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import Operation
from carawaystep.store.operation import PutRow

_MAX_TRANSACTION_OPERATIONS = 100

Name = Annotated[str, Field(min_length=1, max_length=512)]


class _OperationBody(BaseModel):
    model_config = BODY_CONFIG

    table: Name
    key: Name
    expected: Annotated[int, Field(ge=0)] | None


class CheckBody(_OperationBody):
    """Check of the version of a row."""

    op: Literal["check"]
    value: None = None

    def to_operation(self) -> Operation:
        """Convert to a table operation."""
        return CheckRow(self.table, self.key, self.expected)


class DeleteBody(_OperationBody):
    """Deletion of a row."""

    op: Literal["delete"]
    value: None = None

    def to_operation(self) -> Operation:
        """Convert to a table operation."""
        return DeleteRow(self.table, self.key, self.expected)


class PutBody(_OperationBody):
    """Write of a row.

    A null value is rejected because it marks a deleted row.
    """

    op: Literal["put"]
    value: Any

    @model_validator(mode="after")
    def _check_value(self) -> PutBody:
        if self.value is None:
            raise ValueError("the value of a put must not be null")
        # pydantic accepts NaN and 1e999, which JSON responses cannot encode.
        json.dumps(self.value, allow_nan=False)
        return self

    def to_operation(self) -> Operation:
        """Convert to a table operation."""
        return PutRow(self.table, self.key, self.expected, self.value)


class TransactionBody(BaseModel):
    """Transaction that may check a row repeatedly but write it only once."""

    model_config = BODY_CONFIG

    id: Name
    operations: list[
        Annotated[CheckBody | DeleteBody | PutBody, Field(discriminator="op")]
    ] = Field(min_length=1, max_length=_MAX_TRANSACTION_OPERATIONS)

    @model_validator(mode="after")
    def _check_rows_written_once(self) -> TransactionBody:
        written = [
            (body.table, body.key)
            for body in self.operations
            if body.op != "check"
        ]
        if len(set(written)) != len(written):
            raise ValueError("a transaction must not write a row twice")
        return self


class ChangesQuery(BaseModel):
    """Query parameters of a read of changes."""

    model_config = BODY_CONFIG

    since: int = Field(ge=0)
    prefix: list[str] = []


class VmPhaseBody(BaseModel):
    """New phase of a VM; the field keeps the name ``state``."""

    model_config = BODY_CONFIG

    state: VmPhase
