"""What one entry process knows about workers and loads elsewhere."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.vm import Vm
    from carawaystep.peer.messages import EntryLoad

# A load older than this says nothing about free slots; heartbeats outside
# the availability zone come each 5 s.
LOAD_STALE_AFTER_S = 12.0


@dataclass(slots=True)
class _PeerLoad:
    load: EntryLoad
    heard_at: float
    free_slots: int


class ZoneView:
    """Loads of peers and the VM list, for forwarding and ownership."""

    def __init__(self, own_zone: str) -> None:
        """Create an empty view.

        :param own_zone: name of the process's availability zone
        """
        self._own_zone = own_zone
        self._loads: dict[str, _PeerLoad] = {}
        self._vms: dict[str, Vm] = {}
        self._vms_known = False

    @property
    def own_zone(self) -> str:
        """Return the name of the process's availability zone."""
        return self._own_zone

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the VM list as last read."""
        return tuple(self._vms.values())

    @property
    def vms_known(self) -> bool:
        """Tell whether the VM list was ever read."""
        return self._vms_known

    def own_vms(self) -> tuple[Vm, ...]:
        """Return the VMs of the own availability zone."""
        return tuple(
            vm
            for vm in self._vms.values()
            if vm.availability_zone == self._own_zone
        )

    def find_vm(self, name: str) -> Vm | None:
        """Return a VM by its worker's name."""
        return self._vms.get(name)

    def replace_vms(self, vms: Iterable[Vm]) -> None:
        """Take the platform's list."""
        self._vms = {vm.name: vm for vm in vms}
        self._vms_known = True

    def record_load(self, load: EntryLoad, now: float) -> None:
        """Take a peer's load."""
        self._loads[load.entry] = _PeerLoad(load, now, load.free_slots)

    def remove_load(self, entry: str) -> None:
        """Forget the load of a peer whose link went silent."""
        self._loads.pop(entry, None)

    def load_of(self, entry: str, now: float) -> EntryLoad | None:
        """Return a peer's load unless it is stale."""
        heard = self._loads.get(entry)
        if heard is None or now - heard.heard_at > LOAD_STALE_AFTER_S:
            return None
        return heard.load

    def reserve_slot(self, entry: str) -> None:
        """Count a forwarded request until the next heartbeat."""
        heard = self._loads.get(entry)
        if heard is not None:
            heard.free_slots -= 1

    def forward_targets(self, now: float, excluded: set[str]) -> list[str]:
        """Return peers with free slots, those of the own zone first.

        :param now: present time, seconds of a monotonic clock
        :param excluded: peers that were already tried
        """
        fitting = [
            heard
            for name, heard in self._loads.items()
            if name not in excluded
            and heard.free_slots > 0
            and not heard.load.draining
            and now - heard.heard_at <= LOAD_STALE_AFTER_S
        ]
        fitting.sort(
            key=lambda heard: (
                heard.load.availability_zone != self._own_zone,
                -heard.free_slots,
            )
        )
        return [heard.load.entry for heard in fitting]
