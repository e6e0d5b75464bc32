"""Body of a job submission."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

_YEAR_S = 366 * 86_400

Seconds = Annotated[
    float, Field(gt=0, le=_YEAR_S, allow_inf_nan=False, strict=True)
]


class JobSubmission(BaseModel):
    """A job as the caller describes it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    input: Any
    due_s: Seconds | None = None
    run_s: Seconds | None = None

    def input_text(self) -> str:
        """Return the input as JSON text.

        :raises ValueError: when it has a number that JSON cannot express
        """
        return json.dumps(self.input, allow_nan=False, separators=(",", ":"))
