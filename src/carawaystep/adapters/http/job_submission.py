"""Body of a job submission."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

_MAX_DURATION_S = 366 * 86_400

PositiveSeconds = Annotated[
    float, Field(gt=0, le=_MAX_DURATION_S, allow_inf_nan=False, strict=True)
]


class JobSubmission(BaseModel):
    """A job as submitted by a caller.

    :param input: any JSON value
    :param due_s: seconds until the job is due, None for the value in the
        service document
    :param run_s: expected run time in seconds, None for the value in the
        service document
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    input: Any
    due_s: PositiveSeconds | None = None
    run_s: PositiveSeconds | None = None

    def input_text(self) -> str:
        """Return the input as JSON text.

        :raises ValueError: it has a number that JSON cannot represent
        :raises RecursionError: it is nested too deeply
        """
        return json.dumps(self.input, allow_nan=False, separators=(",", ":"))
