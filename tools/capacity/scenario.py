"""Size of what one measured entry process deals with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Scenario:
    """One measurement; the defaults are a small deployment.

    :param workers: workers that the measured entry owns
    :param zone_entries: entries of its availability zone, itself included
    :param availability_zones: zones with entries, its own included
    :param far_entries: entries of each other availability zone
    :param zone_vms: VMs of its availability zone, its own workers included
    :param vms: VMs in the whole list
    :param documents: service documents in force
    :param document_changes_per_s: new versions of documents
    :param jobs: queued jobs that no worker has room for
    :param running: running tasks of the measured entry
    :param starts_per_s: jobs inserted, each of which runs for a short time
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
