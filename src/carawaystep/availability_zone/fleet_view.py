"""VM list and load of peers, as known to one entry process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.vm import Vm
    from carawaystep.peer.messages import EntryLoad

# An older load says nothing about the current free slots. Longer than two
# heartbeat intervals between availability zones, which are 5 s each.
LOAD_STALE_AFTER_S = 12.0


@dataclass(slots=True)
class _PeerLoad:
    load: EntryLoad
    received_at: float
    # Free slots of the load minus the requests forwarded since.
    remaining_slots: int


class FleetView:
    """The loads of peers, for forwarding, and the VM list, for ownership.

    Both cover all availability zones.
    """

    def __init__(self, own_zone: str) -> None:
        """Create an empty view.

        :param own_zone: name of this process's availability zone
        """
        self._own_zone = own_zone
        self._loads: dict[str, _PeerLoad] = {}
        self._vms: dict[str, Vm] = {}
        self._vms_known = False

    @property
    def own_zone(self) -> str:
        """Return the name of this process's availability zone."""
        return self._own_zone

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs of all availability zones, as last read."""
        return tuple(self._vms.values())

    @property
    def vms_known(self) -> bool:
        """Return whether the VM list was read at least once."""
        return self._vms_known

    def own_vms(self) -> tuple[Vm, ...]:
        """Return the VMs of this process's availability zone."""
        return tuple(
            vm
            for vm in self._vms.values()
            if vm.availability_zone == self._own_zone
        )

    def find_vm(self, name: str) -> Vm | None:
        """Return the VM of a worker, None if it is not in the list.

        :param name: name of the VM, which is also that of its worker
        """
        return self._vms.get(name)

    def replace_vms(self, vms: Iterable[Vm]) -> None:
        """Replace the VM list by a newly read one."""
        self._vms = {vm.name: vm for vm in vms}
        self._vms_known = True

    def record_load(self, load: EntryLoad, now: float) -> None:
        """Store the load that a peer sent.

        :param load: the peer's load
        :param now: current monotonic time in seconds
        """
        self._loads[load.entry] = _PeerLoad(load, now, load.free_slots)

    def remove_load(self, entry: str) -> None:
        """Remove the load of a peer that no longer answers.

        :param entry: name of the peer
        """
        self._loads.pop(entry, None)

    def load_of(self, entry: str, now: float) -> EntryLoad | None:
        """Return a peer's load, None if it is unknown or stale.

        :param entry: name of the peer
        :param now: current monotonic time in seconds
        """
        peer = self._loads.get(entry)
        if peer is None or now - peer.received_at > LOAD_STALE_AFTER_S:
            return None
        return peer.load

    def reserve_slot(self, entry: str) -> None:
        """Subtract a slot for a forwarded request, until the next load.

        :param entry: name of the peer
        """
        peer = self._loads.get(entry)
        if peer is not None:
            peer.remaining_slots -= 1

    def forward_targets(self, now: float, excluded: set[str]) -> list[str]:
        """Return the peers that may take a forwarded request, best first.

        They have free slots and are not draining. Peers in the own
        availability zone come first, then those with more free slots.

        :param now: current monotonic time in seconds
        :param excluded: names of peers that were already tried
        """
        candidates = [
            peer
            for name, peer in self._loads.items()
            if name not in excluded
            and peer.remaining_slots > 0
            and not peer.load.draining
            and now - peer.received_at <= LOAD_STALE_AFTER_S
        ]
        candidates.sort(
            key=lambda peer: (
                peer.load.availability_zone != self._own_zone,
                -peer.remaining_slots,
            )
        )
        return [peer.load.entry for peer in candidates]
