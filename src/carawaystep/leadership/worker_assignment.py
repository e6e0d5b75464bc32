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


def assign_workers(
    worker_records: Iterable[WorkerRecord],
    members: Mapping[str, MemberRecord],
    leader: str,
) -> dict[WorkerKey, str]:
    """Assign each worker to a member, in proportion to the members' cores.

    A worker is assigned to a member of its own availability zone if there is
    one, so that a partition between zones does not separate them. The leader
    has the planning to do, and calls workers only where no other member can.

    :param worker_records: the workers
    :param members: available members by name, at least one
    :param leader: name of the leader's node
    :returns: name of the assigned member by worker
    """
    load = dict.fromkeys(members, 0.0)
    others = [name for name in members if name != leader] or [leader]
    by_zone: dict[str, list[str]] = {}
    for name in others:
        by_zone.setdefault(members[name].availability_zone, []).append(name)
    if leader in members:
        by_zone.setdefault(members[leader].availability_zone, [leader])
    member_by_worker: dict[WorkerKey, str] = {}
    for worker_record in sorted(
        worker_records, key=lambda worker_record: worker_record.key
    ):
        name = min(
            by_zone.get(worker_record.availability_zone, others),
            key=lambda n: (load[n], weight(worker_record.key.id, n)),
        )
        member_by_worker[worker_record.key] = name
        load[name] += 1.0 / members[name].cores
    return member_by_worker
