"""Which member calls which worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.membership.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_offer import WorkerOffer
    from carawaystep.leadership.member_record import MemberRecord

# Workers that the leader calls fewer than its processor would allow, because
# it plans as well.
_LEADER_BASE_LOAD = 2.0


def assign_workers(
    offers: Iterable[WorkerOffer],
    members: Mapping[str, MemberRecord],
    leader: str,
) -> dict[WorkerKey, str]:
    """Spread workers over the members by their processors.

    A worker is called from its own availability zone if a member is there,
    so that a cut between zones does not separate the two.

    :param offers: the workers
    :param members: members that can call workers, by name; not empty
    :param leader: name of the leader
    :returns: name of the member by worker
    """
    load = dict.fromkeys(members, 0.0)
    if leader in load:
        load[leader] = _LEADER_BASE_LOAD
    owners: dict[WorkerKey, str] = {}
    for offer in sorted(offers, key=lambda offer: offer.key):
        zone = offer.availability_zone
        near = [
            name
            for name, record in members.items()
            if record.availability_zone == zone
        ]
        name = min(
            near or members,
            key=lambda n: (load[n], weight(offer.key.id, n)),
        )
        owners[offer.key] = name
        load[name] += 1.0 / members[name].cores
    return owners
