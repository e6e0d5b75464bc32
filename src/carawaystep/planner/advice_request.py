"""Question to the placement service."""

from __future__ import annotations

import msgspec

# The codecs read the annotations at run time.
from carawaystep.fleet.worker_key import WorkerKey  # noqa: TC001


class AdviceRequest(msgspec.Struct, array_like=True, frozen=True):
    """Which of some workers may run a step.

    :param workflow: id of the workflow
    :param occurrence: number of the scheduled occurrence
    :param step: number of the step
    :param workers: lifetimes that are asked about
    :param validity_s: how long a ticket is valid
    """

    workflow: str
    occurrence: int
    step: int
    workers: list[WorkerKey]
    validity_s: float

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return workflow, occurrence and step."""
        return self.workflow, self.occurrence, self.step

    @property
    def step_name(self) -> str:
        """Return the name of the step used in logs."""
        return f"{self.workflow}.{self.occurrence}.{self.step}"
