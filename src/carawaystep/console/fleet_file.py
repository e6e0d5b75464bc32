"""Loading of the file that lists workers for ``document check``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import Field

from carawaystep.configuration_check.fleet import Fleet
from carawaystep.configuration_check.fleet_worker import FleetWorker
from carawaystep.configuration_check.service_configuration import capacity_of
from carawaystep.document.service_document import DocumentModel
from carawaystep.document.service_document import NeedsSection
from carawaystep.validation.yaml_model_loader import load_settings_file
from carawaystep.worker.resources import Resources

if TYPE_CHECKING:
    from pathlib import Path

    from result import Result

    from carawaystep.validation.problem import Problem

_ALL_SERVICES = ""


class FleetFile(DocumentModel):
    """Sizes of the workers; one of each size is enough."""

    workers: list[NeedsSection] = Field(description="sizes of workers")


def load_fleet_file(path: Path) -> Result[Fleet, tuple[Problem, ...]]:
    """Load the workers, each of which runs all services.

    :param path: YAML file
    :returns: the workers, or all problems of the file
    """
    return load_settings_file(path, FleetFile).map(_to_fleet)


def _to_fleet(file: FleetFile) -> Fleet:
    return Fleet(
        FleetWorker(
            _ALL_SERVICES,
            frozenset(),
            capacity_of(
                Resources(worker.cpu, worker.memory_mb, worker.accelerators)
            ),
        )
        for worker in file.workers
    )
