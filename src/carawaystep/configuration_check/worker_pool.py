"""The workers that run the tasks of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.configuration_check.fleet_worker import FleetWorker
    from carawaystep.fleet.worker_capacity import WorkerCapacity

_ANY_LABEL = ""


class WorkerPool:
    """Labels and sizes of the workers of a service.

    For each label only the largest sizes are kept, as a task that fits a
    smaller worker also fits one of these.
    """

    def __init__(self, workers: Iterable[FleetWorker]) -> None:
        """Sort the sizes of the workers by label."""
        sizes: dict[str, set[WorkerCapacity]] = {}
        for worker in workers:
            for label in (_ANY_LABEL, *worker.labels):
                sizes.setdefault(label, set()).add(worker.capacity)
        self._largest = {
            label: _largest_sizes(of_label)
            for label, of_label in sizes.items()
        }
        self._labels = tuple(sorted(self._largest.keys() - {_ANY_LABEL}))

    @property
    def labels(self) -> tuple[str, ...]:
        """Return all labels of the workers in alphabetical order."""
        return self._labels

    @property
    def has_workers(self) -> bool:
        """Tell whether any worker runs tasks of the service."""
        return bool(self._largest)

    def largest_sizes(self, label: str) -> tuple[WorkerCapacity, ...]:
        """Return the sizes of which no other has more of everything.

        :param label: label that the workers must have, empty for any
        :returns: the sizes, none when no worker has the label
        """
        return self._largest.get(label, ())


def fits(size: WorkerCapacity, needs: WorkerCapacity) -> bool:
    """Tell whether a size has at least what is needed of each resource."""
    return (
        size.cpu_millis >= needs.cpu_millis
        and size.memory_mb >= needs.memory_mb
        and size.accelerators >= needs.accelerators
    )


def _largest_sizes(
    sizes: set[WorkerCapacity],
) -> tuple[WorkerCapacity, ...]:
    # In descending order no size fits into a later one.
    descending = sorted(
        sizes,
        key=lambda size: (size.cpu_millis, size.memory_mb, size.accelerators),
        reverse=True,
    )
    largest: list[WorkerCapacity] = []
    for size in descending:
        if not any(fits(larger, size) for larger in largest):
            largest.append(size)
    return tuple(largest)
