"""Choice of a worker for one execution."""

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
    """Chooses among the owned workers; never overrides hard limits."""

    @abstractmethod
    def choose(
        self,
        workers: Iterable[Worker],
        needs: Resources,
        kind: WorkKind,
        now: float,
    ) -> Worker | None:
        """Choose a worker that may get work and has room.

        :param workers: the owned workers
        :param needs: resources of the execution
        :param kind: request or task
        :param now: present time, seconds of a monotonic clock
        :returns: None when no worker has room
        """
