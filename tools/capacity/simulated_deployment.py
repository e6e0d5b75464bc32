"""Names and table rows of a simulated deployment."""

from __future__ import annotations

from hashlib import sha256
from itertools import count
from typing import TYPE_CHECKING

from carawaystep.job.job_id import SHARDS
from carawaystep.job.job_row import JobRow
from carawaystep.membership.entry_row import EntryRow
from carawaystep.membership.rendezvous import ranked
from carawaystep.store.operation import PutRow
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from tools.capacity.scenario import Scenario

MEASURED_ENTRY = "z0-e0"
MEASURED_ZONE = "z0"
BATCH_SERVICE = "recheck-0"

# Nothing listens at this address and the measured entry does not use it.
_UNUSED_ADDRESS = f"{LOOPBACK_HOST}:9"


class SimulatedDeployment:
    """Chooses names that rank the measured entry first for its workers.

    The rendezvous hash of the names ranks it first for exactly its workers.
    It owns all of them only if it is alone in its availability zone, because
    ``OwnershipPolicy`` gives no entry more than an even share of the zone's
    workers.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Choose the names.

        :param scenario: sizes of the deployment
        :raises ValueError: ``zone_vms`` exceeds ``workers``, but no other
            entry of the zone can own the difference
        """
        self._scenario = scenario
        self._entries = {
            f"z{zone}": [
                f"z{zone}-e{number}"
                for number in range(
                    scenario.zone_entries
                    if zone == 0
                    else scenario.far_entries
                )
            ]
            for zone in range(scenario.availability_zones)
        }
        self._shards = self._own_shards()
        other_worker_count = scenario.zone_vms - scenario.workers
        if scenario.zone_entries == 1 and other_worker_count > 0:
            raise ValueError(
                "zone_vms must equal workers when zone_entries is 1, because a"
                " single entry owns all workers of its zone"
            )
        self._workers = self._choose_worker_names(scenario.workers, owned=True)
        self._other_workers = self._choose_worker_names(
            max(0, other_worker_count), owned=False
        )

    @property
    def workers(self) -> list[str]:
        """Return the names of the measured entry's workers."""
        return self._workers

    @property
    def other_vms(self) -> list[tuple[str, str]]:
        """Return the name and the availability zone of all other VMs."""
        zones = [zone for zone in self._entries if zone != MEASURED_ZONE] or [
            "z1"
        ]
        zone_vm_count = len(self._workers) + len(self._other_workers)
        far_vm_count = max(0, self._scenario.vms - zone_vm_count)
        return [(name, MEASURED_ZONE) for name in self._other_workers] + [
            (f"far-{number}", zones[number % len(zones)])
            for number in range(far_vm_count)
        ]

    @property
    def peers(self) -> list[str]:
        """Return the names of all entries but the measured one."""
        return [
            name
            for names in self._entries.values()
            for name in names
            if name != MEASURED_ENTRY
        ]

    @property
    def linked_peers(self) -> list[str]:
        """Return the names of the entries that the measured one links to."""
        linked = [
            name
            for name in self._entries[MEASURED_ZONE]
            if name != MEASURED_ENTRY
        ]
        for zone, names in self._entries.items():
            if zone != MEASURED_ZONE:
                linked += ranked(MEASURED_ENTRY, names)[:2]
        return linked

    def entry_row(
        self, name: str, port: int | None, heartbeat_number: int
    ) -> PutRow:
        """Return the heartbeat row of a simulated entry.

        :param name: name of the entry
        :param port: port of its peer link, None when it has none
        :param heartbeat_number: number of the heartbeat
        """
        address = (
            _UNUSED_ADDRESS if port is None else f"{LOOPBACK_HOST}:{port}"
        )
        zone = name.partition("-")[0]
        row = EntryRow(
            name,
            f"{name}-0123abcd",
            zone,
            f"http://{_UNUSED_ADDRESS}",
            f"tcp://{address}",
            1,
            False,
            heartbeat_number,
        )
        return PutRow("entries", f"{zone}/{name}", None, row.to_value())

    def document_row(self, number: int, revision: int = 0) -> PutRow:
        """Return the row of a service document of the usual length.

        :param number: number in the name of the service
        :param revision: number that tells versions apart
        """
        service = f"recheck-{number}"
        text = (
            f"# Rechecks who is eligible, revision {revision}.\n"
            f"service: {service}\nteam: team-{number % 270}\nkind: batch\n"
            "urgency: 30\n"
            "needs: {cpu: 1, memory_mb: 2000, accelerators: 0}\n"
            "batch:\n  run_s: 15\n  due_s: 14400\n  max_attempts: 3\n"
            "  evictable: true\n"
        )
        value = {"team": f"team-{number % 270}", "text": text}
        return PutRow("documents", service, None, value)

    def job_row(self, key: str, run_s: float, submitted_at: float) -> PutRow:
        """Return the row of a queued job in a shard of the measured entry.

        Jobs of its own shards are claimed without a delay.

        :param key: text that the id of the job is derived from
        :param run_s: declared run time
        :param submitted_at: time of submission, Unix time
        """
        digest = sha256(key.encode()).hexdigest()
        shard = self._shards[int(digest[:8], 16) % len(self._shards)]
        row = JobRow(
            service=BATCH_SERVICE,
            state="queued",
            submitted_at=submitted_at,
            due_s=14400.0,
            run_s=run_s,
            input='{"case": 7000000}',
        )
        return PutRow("jobs", f"{shard}-{digest[2:32]}", None, row.to_value())

    def _own_shards(self) -> list[str]:
        return [
            shard
            for shard in SHARDS
            if ranked(shard, self._entries)[0] == MEASURED_ZONE
            and ranked(shard, self._entries[MEASURED_ZONE])[0]
            == MEASURED_ENTRY
        ]

    def _choose_worker_names(self, number: int, owned: bool) -> list[str]:
        entries = self._entries[MEASURED_ZONE]
        names = (f"worker-{index:04}" for index in count())
        chosen: list[str] = []
        while len(chosen) < number:
            name = next(names)
            if (ranked(name, entries)[0] == MEASURED_ENTRY) is owned:
                chosen.append(name)
        return chosen
