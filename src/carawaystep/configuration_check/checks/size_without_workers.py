"""Check for tasks that are larger than all workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.checks.worker_requirement import (
    WorkerRequirementCheck,
)
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.field_detail import FieldDetail
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity
from carawaystep.configuration_check.worker_pool import fits

if TYPE_CHECKING:
    from carawaystep.configuration_check.declared_work import DeclaredTask
    from carawaystep.configuration_check.worker_pool import WorkerPool


_MILLIS_PER_CORE = 1000


class SizeWithoutWorkersCheck(WorkerRequirementCheck):
    """Finds tasks that fit no worker even if nothing else runs on it."""

    code = FindingCode.SIZE_WITHOUT_WORKERS
    severity = Severity.WARNING
    advice = "ask for less or start larger workers"

    def _find_problem(
        self, task: DeclaredTask, pool: WorkerPool
    ) -> FieldDetail | None:
        sizes = pool.largest_sizes(task.label)
        if not sizes or any(fits(size, task.needs) for size in sizes):
            return None
        needs = task.needs
        for field, need, largest, unit in (
            (
                ConfiguredField.CPU,
                needs.cpu_millis / _MILLIS_PER_CORE,
                max(size.cpu_millis for size in sizes) / _MILLIS_PER_CORE,
                "cores",
            ),
            (
                ConfiguredField.MEMORY,
                needs.memory_mb,
                max(size.memory_mb for size in sizes),
                "MB of memory",
            ),
            (
                ConfiguredField.ACCELERATORS,
                needs.accelerators,
                max(size.accelerators for size in sizes),
                "accelerators",
            ),
        ):
            if need > largest:
                detail = (
                    f"a task needs {need:.10g} {unit}, the largest worker has"
                    f" {largest:.10g}"
                )
                return FieldDetail(field, detail)
        detail = (
            f"a task needs {needs.cpu_millis / _MILLIS_PER_CORE:g} cores,"
            f" {needs.memory_mb} MB and {needs.accelerators} accelerators,"
            " and no worker has all of them"
        )
        return FieldDetail(ConfiguredField.CPU, detail)
