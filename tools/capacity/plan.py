"""Scenarios to measure, and deployments to estimate the costs of."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

from tools.capacity.scenario import Scenario

_SMALL = Scenario()
# Sweeps over owners and zones of VMs keep the length of the VM list.
_FIXED_VM_LIST = Scenario(vms=240)
# A single entry follows all shards, so that it knows every job.
_SINGLE_ENTRY = Scenario(zone_entries=1, availability_zones=1)


@dataclass(frozen=True, slots=True)
class SizeSweep:
    """Series of scenarios in which one size is varied.

    :param name: name of the size, its key in the file of measurements
    :param points: scenario of each value of the size
    """

    name: str
    points: dict[float, Scenario]


@dataclass(frozen=True, slots=True)
class DeploymentSizes:
    """Load of one entry in a deployment.

    :param name: name of the deployment
    :param entries: number of entry processes in the deployment
    :param sizes: value of each size by the name of its sweep
    """

    name: str
    entries: int
    sizes: dict[str, float]


def planned_sweeps() -> list[SizeSweep]:
    """Return all sweeps, with at least four points each.

    Fewer points would not show whether a cost is linear.
    """
    return [
        SizeSweep(
            "workers",
            {
                n: replace(_FIXED_VM_LIST, workers=n, zone_vms=96)
                for n in (8, 24, 48, 96)
            },
        ),
        SizeSweep(
            "zone_entries",
            {n: replace(_SMALL, zone_entries=n) for n in (1, 3, 6, 9)},
        ),
        SizeSweep(
            "availability_zones",
            {
                n: replace(_SMALL, availability_zones=n, far_entries=9)
                for n in (1, 3, 6, 15)
            },
        ),
        SizeSweep(
            "jobs",
            {
                n: replace(_SINGLE_ENTRY, jobs=n)
                for n in (0, 1000, 4000, 10000)
            },
        ),
        SizeSweep(
            "running",
            {n: replace(_SINGLE_ENTRY, running=n) for n in (0, 12, 24, 44)},
        ),
        SizeSweep(
            "starts_per_s",
            {
                n: replace(_SINGLE_ENTRY, starts_per_s=n)
                for n in (0, 1, 2, 4, 8)
            },
        ),
        SizeSweep(
            "documents",
            {n: replace(_SMALL, documents=n) for n in (10, 100, 270, 1000)},
        ),
        SizeSweep(
            "document_changes_per_s",
            {
                n: replace(_SMALL, document_changes_per_s=n)
                for n in (0, 0.5, 1, 2, 4)
            },
        ),
        SizeSweep(
            "vms",
            {n: replace(_SMALL, vms=n) for n in (24, 240, 1000, 3200)},
        ),
        SizeSweep(
            "zone_vms",
            {
                n: replace(_FIXED_VM_LIST, zone_vms=n)
                for n in (8, 60, 120, 214)
            },
        ),
    ]


def combined_scenarios() -> dict[str, Scenario]:
    """Return scenarios of target size, which check the sum of all slopes.

    ``running`` is below the number of slots, so that starts have free slots.
    """
    target = Scenario(
        workers=24,
        zone_entries=9,
        availability_zones=15,
        far_entries=9,
        zone_vms=214,
        vms=3200,
        documents=270,
        document_changes_per_s=0.1,
        running=140,
        starts_per_s=1.5,
    )
    return {
        "target": target,
        "target_70": replace(
            target,
            workers=70,
            zone_entries=3,
            far_entries=3,
            running=410,
            starts_per_s=4.3,
        ),
    }


def deployments() -> list[DeploymentSizes]:
    """Return the sizes of an entry today and at both target sizes."""
    return [
        DeploymentSizes(
            "today",
            9,
            {
                "workers": 3,
                "zone_entries": 3,
                "availability_zones": 3,
                "jobs": 30,
                "running": 3,
                "starts_per_s": 0.1,
                "documents": 6,
                "document_changes_per_s": 0,
                "vms": 24,
                "zone_vms": 8,
            },
        ),
        DeploymentSizes(
            "target",
            135,
            {
                "workers": 3200 / 135,
                "zone_entries": 9,
                "availability_zones": 15,
                "jobs": (19_000 + 10_000) / 15,
                "running": 19_000 / 135,
                "starts_per_s": 200 / 135,
                "documents": 270,
                "document_changes_per_s": 7_100 / 86_400,
                "vms": 3_200,
                "zone_vms": 3_200 / 15,
            },
        ),
        DeploymentSizes(
            "target_70",
            46,
            {
                "workers": 3200 / 46,
                "zone_entries": 3,
                "availability_zones": 15,
                "jobs": (19_000 + 10_000) / 15,
                "running": 19_000 / 46,
                "starts_per_s": 200 / 46,
                "documents": 270,
                "document_changes_per_s": 7_100 / 86_400,
                "vms": 3_200,
                "zone_vms": 3_200 / 15,
            },
        ),
    ]
