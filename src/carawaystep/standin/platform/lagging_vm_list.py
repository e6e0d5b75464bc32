"""VM list that lags behind the actual states of the VMs."""

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
    """History of the states of all VMs; each VM starts as live."""

    def __init__(self, vms: Iterable[StandinVmSettings], lag_s: float) -> None:
        """Create the list.

        :param vms: all VMs
        :param lag_s: lag of the list in seconds
        """
        self._vms = {vm.name: vm for vm in vms}
        self._lag_s = lag_s
        self._phase_changes: dict[str, list[tuple[float, VmPhase]]] = {
            name: [] for name in self._vms
        }

    def set_phase(self, name: str, phase: VmPhase, now: float) -> bool:
        """Set the phase of a VM, that is, its actual state.

        :param name: name of the VM
        :param phase: new phase
        :param now: current monotonic time in seconds
        :returns: False if there is no such VM
        """
        if name not in self._vms:
            return False
        self._phase_changes[name].append((now, phase))
        return True

    def list_vms(self, now: float, extra_lag_s: float = 0.0) -> list[Vm]:
        """Return the VMs and their states as they were before the lag.

        :param now: current monotonic time in seconds
        :param extra_lag_s: seconds added to the usual lag
        """
        as_of = now - self._lag_s - extra_lag_s
        return [
            Vm(vm.name, vm.availability_zone, vm.rack, vm.url, VmState(phase))
            for name, vm in self._vms.items()
            if (phase := self._phase_at(name, as_of)) is not VmPhase.GONE
        ]

    def _phase_at(self, name: str, as_of: float) -> VmPhase:
        for changed_at, phase in reversed(self._phase_changes[name]):
            if changed_at <= as_of:
                return phase
        return VmPhase.LIVE
