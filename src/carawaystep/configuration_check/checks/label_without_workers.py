"""Check for labels that no worker has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.checks.worker_requirement import (
    WorkerRequirementCheck,
)
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.field_detail import FieldDetail
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.configuration_check.declared_work import DeclaredTask
    from carawaystep.configuration_check.worker_pool import WorkerPool


_MAX_SHOWN_LABELS = 8


class LabelWithoutWorkersCheck(WorkerRequirementCheck):
    """Finds tasks that wait for ever for a worker with their label."""

    code = FindingCode.LABEL_WITHOUT_WORKERS
    severity = Severity.WARNING
    advice = "correct the label or start workers that have it"

    def _find_problem(
        self, task: DeclaredTask, pool: WorkerPool
    ) -> FieldDetail | None:
        if pool.largest_sizes(task.label):
            return None
        labels = pool.labels
        shown = ", ".join(labels[:_MAX_SHOWN_LABELS]) or "none"
        detail = f'no worker has the label "{task.label}" (they have: {shown}'
        detail += ", ...)" if len(labels) > _MAX_SHOWN_LABELS else ")"
        return FieldDetail(ConfiguredField.LABEL, detail)
