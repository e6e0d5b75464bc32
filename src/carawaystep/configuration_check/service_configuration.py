"""Conversion of service documents for the configuration check."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from carawaystep.configuration_check.configuration import Configuration
from carawaystep.configuration_check.declared_work import DeclaredTask
from carawaystep.configuration_check.declared_work import DeclaredWork
from carawaystep.fleet.worker_capacity import WorkerCapacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.worker.resources import Resources

_MILLIS_PER_CORE = 1000


def configuration_of_services(specs: Iterable[ServiceSpec]) -> Configuration:
    """Return a configuration with the work that documents declare.

    :param specs: validated documents
    """
    documents = tuple(specs)
    return Configuration(
        work=tuple(_declared_work(spec) for spec in documents),
        documents=documents,
    )


def capacity_of(resources: Resources) -> WorkerCapacity:
    """Return resources in whole thousandths of a core, rounded up."""
    return WorkerCapacity(
        math.ceil(resources.cpu * _MILLIS_PER_CORE),
        resources.memory_mb,
        resources.accelerators,
    )


def _declared_work(spec: ServiceSpec) -> DeclaredWork:
    task = DeclaredTask(capacity_of(spec.needs))
    if spec.run_s is None:
        return DeclaredWork(spec.service, (task,))
    return DeclaredWork(spec.service, (task,), spec.run_s, spec.due_s)
