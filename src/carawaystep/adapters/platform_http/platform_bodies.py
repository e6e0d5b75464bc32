"""Bodies of the platform's HTTP responses.

The models are in one module because together they define the protocol.
Unknown keys are ignored, so that the platform can add new ones.
"""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel

from carawaystep.fleet.vm_state import VmState


class CommitBody(BaseModel):
    """Response to a committed transaction.

    :param revision: revision of the transaction
    :param versions: new version of each row, in the order of the operations
    """

    revision: int
    versions: tuple[int, ...]


class ConflictRow(BaseModel):
    """A row that did not have the expected version.

    :param version: current version, 0 when the row does not exist
    """

    table: str
    key: str
    version: int


class ConflictsBody(BaseModel):
    """Response to a transaction in which expected versions did not match."""

    conflicts: tuple[ConflictRow, ...]


class RowBody(BaseModel):
    """Response to a read of one row."""

    value: Any
    version: int
    revision: int


class ChangedRow(BaseModel):
    """A changed row; its value is None when the row was deleted."""

    key: str
    value: Any
    version: int
    revision: int


class ChangesBody(BaseModel):
    """One page of changed rows.

    :param revision: value of ``since`` for reading the next page
    :param more: whether the next page is available without waiting
    """

    rows: tuple[ChangedRow, ...]
    revision: int
    more: bool


class VmBody(BaseModel):
    """A VM that runs a worker."""

    name: str
    availability_zone: str
    rack: str
    url: str
    state: VmState


class VmsBody(BaseModel):
    """The VM list."""

    vms: tuple[VmBody, ...]
