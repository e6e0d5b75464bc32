"""Sizes of the deployment around one measured entry process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Scenario:
    """Sizes for one measurement; the defaults are a small deployment.

    :param workers: workers that the measured entry owns
    :param zone_entries: entries of its availability zone, including itself
    :param availability_zones: zones with entries, including its own
    :param far_entries: entries of each other availability zone
    :param zone_vms: VMs of its availability zone, including its own workers
    :param vms: VMs in the whole list
    :param documents: service documents in force
    :param document_changes_per_s: rate of new document versions
    :param jobs: queued jobs that no worker has a free slot for
    :param running: running tasks of the measured entry
    :param starts_per_s: rate of inserted jobs, each with a short run time
    """

    workers: int = 8
    zone_entries: int = 3
    availability_zones: int = 3
    far_entries: int = 3
    zone_vms: int = 8
    vms: int = 24
    documents: int = 10
    document_changes_per_s: float = 0.0
    jobs: int = 0
    running: int = 0
    starts_per_s: float = 0.0
