"""Request to the placement service."""

from __future__ import annotations

import msgspec

# The codecs read the annotations at run time.
from carawaystep.fleet.worker_key import WorkerKey  # noqa: TC001


class AdviceRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks which of the given workers may run a step.

    :param workflow: id of the workflow
    :param occurrence: number of the scheduled occurrence, from 0
    :param step: number of the step, from 0
    :param workers: workers to ask about
    :param validity_s: time for which a granted ticket is valid, seconds
    :param timeout_s: time after which the request has failed, seconds; leaders
        of earlier versions do not send it
    """

    workflow: str
    occurrence: int
    step: int
    workers: list[WorkerKey]
    validity_s: float
    timeout_s: float = 2.5

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return the workflow id and the numbers of occurrence and step."""
        return self.workflow, self.occurrence, self.step

    @property
    def step_name(self) -> str:
        """Return the name of the step in logs and requests."""
        return f"{self.workflow}.{self.occurrence}.{self.step}"
