"""Interface of the policies that place executions on workers."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.worker.resources import Resources
    from carawaystep.worker.work_kind import WorkKind
    from carawaystep.worker.worker import Worker


class PlacementPolicy(ABC):
    """Chooses among the owned workers, within their capacity."""

    @abstractmethod
    def choose(
        self,
        workers: Iterable[Worker],
        needs: Resources,
        kind: WorkKind,
        now: float,
    ) -> Worker | None:
        """Choose a worker that accepts work and has enough free capacity.

        :param workers: the owned workers
        :param needs: resources of the execution
        :param kind: request or task
        :param now: current monotonic time in seconds
        :returns: the worker, None if no worker qualifies
        """
