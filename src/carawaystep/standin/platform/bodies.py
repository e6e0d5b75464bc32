"""Models of the bodies and parameters that the platform accepts."""

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

_MAX_OPERATIONS = 100

Name = Annotated[str, Field(min_length=1, max_length=512)]


class _RowBody(BaseModel):
    model_config = BODY_CONFIG

    table: Name
    key: Name
    expected: Annotated[int, Field(ge=0)] | None


class CheckBody(_RowBody):
    """A check of a row's version."""

    op: Literal["check"]
    value: None = None

    def operation(self) -> Operation:
        """Return the operation inside."""
        return CheckRow(self.table, self.key, self.expected)


class DeleteBody(_RowBody):
    """A delete of a row."""

    op: Literal["delete"]
    value: None = None

    def operation(self) -> Operation:
        """Return the operation inside."""
        return DeleteRow(self.table, self.key, self.expected)


class PutBody(_RowBody):
    """A write of a row; null stands for a deleted row and is refused."""

    op: Literal["put"]
    value: Any

    @model_validator(mode="after")
    def _has_value(self) -> PutBody:
        if self.value is None:
            raise ValueError("the value of a put must not be null")
        # pydantic reads NaN and 1e999, which no answer could hold again.
        json.dumps(self.value, allow_nan=False)
        return self

    def operation(self) -> Operation:
        """Return the operation inside."""
        return PutRow(self.table, self.key, self.expected, self.value)


class TransactionBody(BaseModel):
    """A transaction; it may check a row often but write it only once."""

    model_config = BODY_CONFIG

    id: Name
    operations: list[
        Annotated[CheckBody | DeleteBody | PutBody, Field(discriminator="op")]
    ] = Field(min_length=1, max_length=_MAX_OPERATIONS)

    @model_validator(mode="after")
    def _writes_each_row_once(self) -> TransactionBody:
        written = [
            (body.table, body.key)
            for body in self.operations
            if body.op != "check"
        ]
        if len(set(written)) != len(written):
            raise ValueError("a transaction must not write a row twice")
        return self


class ChangesQuery(BaseModel):
    """Parameters of a read of changes."""

    model_config = BODY_CONFIG

    since: int = Field(ge=0)
    prefix: list[str] = []


class VmPhaseBody(BaseModel):
    """New true state of a VM."""

    model_config = BODY_CONFIG

    state: VmPhase
