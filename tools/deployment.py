"""Model of the ``deployment.yaml`` of an example."""

from __future__ import annotations

from typing import Literal
from typing import TYPE_CHECKING

from pydantic import Field
from pydantic import model_validator
from pydantic import ValidationError
from result import Err
from result import Ok
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from carawaystep.settings.entry_settings import NAME_PATTERN
from carawaystep.settings.settings_model import SettingsModel
from carawaystep.settings.standin_worker_settings import StandinServiceSettings

if TYPE_CHECKING:
    from pathlib import Path

    from result import Result


class TokenSpec(SettingsModel):
    """A token that the launcher generates."""

    name: str = Field(pattern=NAME_PATTERN, description="name of its file")
    team: str = Field(description="team of its holder, * for all teams")
    roles: list[Literal["caller", "operator"]] = Field(min_length=1)


class WorkerSize(SettingsModel):
    """Size of every worker."""

    slots: int = Field(ge=1)
    connections: int = Field(ge=1)
    cpu: float = Field(gt=0, description="cores")
    memory_mb: int = Field(gt=0, description="megabytes")


class DeploymentWorker(SettingsModel):
    """One worker."""

    name: str = Field(pattern=NAME_PATTERN)
    rack: str = Field(pattern=NAME_PATTERN)
    accelerators: int = Field(default=0, ge=0)


class DeploymentZone(SettingsModel):
    """One availability zone."""

    name: str = Field(pattern=NAME_PATTERN)
    entries: int = Field(ge=1, le=32, description="entry VMs")
    workers: list[DeploymentWorker] = Field(min_length=1)


class Deployment(SettingsModel):
    """Entry VMs, workers and tokens of a deployment."""

    name: str = Field(pattern=NAME_PATTERN)
    worker: WorkerSize
    drain_limit_s: float = Field(gt=0, le=3600)
    tokens: list[TokenSpec] = Field(min_length=1)
    services: dict[str, StandinServiceSettings] = {}
    availability_zones: list[DeploymentZone] = Field(min_length=1)

    @property
    def entry_count(self) -> int:
        """Return the number of entry VMs."""
        return sum(zone.entries for zone in self.availability_zones)

    @property
    def workers(self) -> tuple[DeploymentWorker, ...]:
        """Return the workers of all availability zones."""
        return tuple(
            worker
            for zone in self.availability_zones
            for worker in zone.workers
        )

    def entry_names(self, count: int) -> dict[str, list[str]]:
        """Return the names of the entries to start, by availability zone.

        Entries are distributed round-robin, so that each availability zone
        has one that can own its workers.

        :param count: total number of entries
        """
        counts: dict[str, int] = {
            zone.name: 0 for zone in self.availability_zones
        }
        remaining = count
        while remaining > 0:
            for zone in self.availability_zones:
                if remaining > 0 and counts[zone.name] < zone.entries:
                    counts[zone.name] += 1
                    remaining -= 1
        return {
            zone: [f"{zone}-e{number + 1}" for number in range(entries)]
            for zone, entries in counts.items()
        }

    def check_entry_count(self, count: int) -> str | None:
        """Return an error message for an invalid number of entries.

        :param count: total number of entries
        :returns: None when the number is valid
        """
        minimum = len(self.availability_zones)
        if minimum <= count <= self.entry_count:
            return None
        return (
            f"{count} entries are invalid for {self.name}: expected {minimum}"
            f" (one for each availability zone) to {self.entry_count}"
        )

    @model_validator(mode="after")
    def _check_unique_names(self) -> Deployment:
        groups = {
            "availability zone": [z.name for z in self.availability_zones],
            "worker": [worker.name for worker in self.workers],
            "token": [token.name for token in self.tokens],
        }
        for category, names in groups.items():
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"{category} name {name!r} is used twice")
        return self


def load_deployment(
    path: Path, entry_count: int | None = None
) -> Result[Deployment, str]:
    """Read and validate a deployment file.

    :param path: the file
    :param entry_count: number of entries to start, checked against the
        deployment; None for all
    :returns: the deployment, or an error message that names the file or the
        deployment
    """
    loaded = _read_deployment(path)
    if isinstance(loaded, Err) or entry_count is None:
        return loaded
    problem = loaded.ok_value.check_entry_count(entry_count)
    return loaded if problem is None else Err(problem)


def _read_deployment(path: Path) -> Result[Deployment, str]:
    try:
        content = YAML(typ="safe", pure=True).load(path)
        return Ok(Deployment.model_validate(content))
    except OSError as error:
        return Err(f"{path}: cannot be read: {error.strerror}")
    except YAMLError as error:
        return Err(f"{path}: not valid YAML: {error}")
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]
        location = ".".join(str(part) for part in problem["loc"])
        return Err(f"{path}: {location or 'file'}: {problem['msg']}")
