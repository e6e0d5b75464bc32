"""Decoders of the rows that leaders and members store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawaystep.validation.boundary_decoder import BoundaryDecoder
from carawaystep.workflow.workflow_spec import WorkflowSpec

# The codecs read the annotations at run time.
from carawaystep.workflow.workflow_state import WorkflowState  # noqa: TC001

if TYPE_CHECKING:
    from carawaystep.store.row import Row


class FinalRecord(msgspec.Struct):
    """Value of a row of the table of final states."""

    state: WorkflowState


FINAL_STATES = BoundaryDecoder[FinalRecord](FinalRecord)
# Image of the best-effort task, image of the serving task, probability.
INTERFERENCE = BoundaryDecoder[list[tuple[str, str, float]]](
    list[tuple[str, str, float]]
)
_SPECS = BoundaryDecoder[WorkflowSpec](WorkflowSpec)


def parse_spec(row: Row) -> WorkflowSpec | None:
    """Return the workflow in a row, None if the row is malformed."""
    return _SPECS.convert(row.value).ok()
