"""Bodies of the platform's HTTP answers.

The models stand in one module, because together they are the protocol.
Unknown keys are ignored, so that the platform can add some.
"""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel

from carawaystep.fleet.vm_state import VmState


class CommitBody(BaseModel):
    """Answer to a committed transaction."""

    revision: int
    versions: tuple[int, ...]


class ConflictRow(BaseModel):
    """A row that did not have the expected version."""

    table: str
    key: str
    version: int


class ConflictsBody(BaseModel):
    """Answer to a transaction that met other versions."""

    conflicts: tuple[ConflictRow, ...]


class RowBody(BaseModel):
    """Answer to the read of one row."""

    value: Any
    version: int
    revision: int


class ChangedRow(BaseModel):
    """A row in a page of changes."""

    key: str
    value: Any
    version: int
    revision: int


class ChangesBody(BaseModel):
    """One page of changed rows."""

    rows: tuple[ChangedRow, ...]
    revision: int
    more: bool


class VmBody(BaseModel):
    """A VM in the list."""

    name: str
    availability_zone: str
    rack: str
    url: str
    state: VmState


class VmsBody(BaseModel):
    """The list of target VMs."""

    vms: tuple[VmBody, ...]
