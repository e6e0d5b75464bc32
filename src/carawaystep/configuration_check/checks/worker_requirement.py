"""Base class of the checks of what tasks need of workers."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.declared_work import DeclaredTask
    from carawaystep.configuration_check.field_detail import FieldDetail
    from carawaystep.configuration_check.finding import Finding
    from carawaystep.configuration_check.worker_pool import WorkerPool


class WorkerRequirementCheck(Check):
    """Checks each task of declared work against the workers of its service.

    Services without any worker are left to the check of services.
    """

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each task that no worker can run."""
        if subject.fleet is None:
            return
        for position, work in enumerate(subject.configuration.work):
            pool = subject.fleet.pool(work.service)
            if not pool.has_workers:
                continue
            for step, task in enumerate(work.tasks):
                problem = self._find_problem(task, pool)
                if problem is not None:
                    place = Location(
                        Section.WORK, position, problem.field, step
                    )
                    yield self._finding(subject, place, problem.detail)

    @abstractmethod
    def _find_problem(
        self, task: DeclaredTask, pool: WorkerPool
    ) -> FieldDetail | None:
        """Return the field that no worker satisfies, None without one."""
