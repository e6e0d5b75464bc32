"""Assignment of workers to the members that call them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.leadership.member_record import MemberRecord

# The leader also plans, so it starts with this load, in workers per core, and
# is assigned fewer workers.
_LEADER_BASE_LOAD = 2.0


def assign_workers(
    worker_records: Iterable[WorkerRecord],
    members: Mapping[str, MemberRecord],
    leader: str,
) -> dict[WorkerKey, str]:
    """Assign each worker to a member, in proportion to the members' cores.

    A worker is assigned to a member of its own availability zone if there is
    one, so that a partition between zones does not separate them.

    :param worker_records: the workers
    :param members: available members by name, at least one
    :param leader: name of the leader's node
    :returns: name of the assigned member by worker
    """
    load = dict.fromkeys(members, 0.0)
    if leader in load:
        load[leader] = _LEADER_BASE_LOAD
    member_by_worker: dict[WorkerKey, str] = {}
    for worker_record in sorted(
        worker_records, key=lambda worker_record: worker_record.key
    ):
        zone = worker_record.availability_zone
        same_zone = [
            name
            for name, record in members.items()
            if record.availability_zone == zone
        ]
        name = min(
            same_zone or members,
            key=lambda n: (load[n], weight(worker_record.key.id, n)),
        )
        member_by_worker[worker_record.key] = name
        load[name] += 1.0 / members[name].cores
    return member_by_worker
