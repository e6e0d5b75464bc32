"""Random run times and failures on a stand-in worker."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from carawaystep.settings.standin_worker_settings import StandinServiceSettings

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random


class RunTimeModel:
    """Determines the run times and failures of each service.

    Services without settings use the defaults.
    """

    def __init__(
        self, services: Mapping[str, StandinServiceSettings], random: Random
    ) -> None:
        """Create the model.

        :param services: settings by service name
        :param random: random generator of this worker
        """
        self._services = services
        self._default = StandinServiceSettings()
        self._random = random

    def draw_request_run_s(self, service: str) -> float:
        """Draw the run time of a request in seconds."""
        settings = self._settings(service)
        median_s = settings.median_ms / 1000
        return self._random.lognormvariate(math.log(median_s), settings.sigma)

    def scale_task_run_s(
        self, service: str, run_s: float | None
    ) -> float | None:
        """Return the actual run time of a whole job in seconds.

        :param service: name of the service
        :param run_s: declared run time in seconds, None for a task of
            a standing service
        """
        if run_s is None:
            return None
        return run_s * self._settings(service).task_scale

    def draw_failure(self, service: str) -> bool:
        """Draw whether an execution fails."""
        return self._random.random() < self._settings(service).fail_share

    def draw_share(self) -> float:
        """Draw a share from 0 to 1, uniformly."""
        return self._random.random()

    def _settings(self, service: str) -> StandinServiceSettings:
        return self._services.get(service, self._default)
