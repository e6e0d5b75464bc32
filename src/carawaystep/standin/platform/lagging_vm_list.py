"""VM list that lags behind the true states."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.vm import Vm
from carawaystep.fleet.vm_state import VmState
from carawaystep.standin.platform.vm_phase import VmPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.settings.standin_platform_settings import (
        StandinVmSettings,
    )


class LaggingVmList:
    """VMs with the history of their states; each starts as live."""

    def __init__(self, vms: Iterable[StandinVmSettings], lag_s: float) -> None:
        """Create the list.

        :param vms: all VMs
        :param lag_s: age of the list, seconds
        """
        self._vms = {vm.name: vm for vm in vms}
        self._lag_s = lag_s
        self._changes: dict[str, list[tuple[float, VmPhase]]] = {
            name: [] for name in self._vms
        }

    def set_phase(self, name: str, phase: VmPhase, now: float) -> bool:
        """Change the true state of a VM.

        :param name: name of the VM
        :param phase: new state
        :param now: present time, seconds of a monotonic clock
        :returns: False when there is no such VM
        """
        if name not in self._vms:
            return False
        self._changes[name].append((now, phase))
        return True

    def listed(self, now: float, further_lag_s: float = 0.0) -> list[Vm]:
        """Return the VMs as they were some time ago.

        :param now: present time, seconds of a monotonic clock
        :param further_lag_s: age beyond the usual one, seconds
        """
        seen_at = now - self._lag_s - further_lag_s
        return [
            Vm(vm.name, vm.availability_zone, vm.rack, vm.url, VmState(phase))
            for name, vm in self._vms.items()
            if (phase := self._phase_at(name, seen_at)) is not VmPhase.GONE
        ]

    def _phase_at(self, name: str, seen_at: float) -> VmPhase:
        for changed_at, phase in reversed(self._changes[name]):
            if changed_at <= seen_at:
                return phase
        return VmPhase.LIVE
