"""Tests of the VM list of the stand-in platform."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.settings.standin_platform_settings import StandinVmSettings
from carawaystep.standin.platform.lagging_vm_list import LaggingVmList
from carawaystep.standin.platform.vm_phase import VmPhase


class LaggingVmListTest(TestCase):
    """Lag of the list."""

    def _states(self, now: float, extra_lag_s: float = 0.0) -> list[str]:
        return [vm.state for vm in self.vms.list_vms(now, extra_lag_s)]

    def setUp(self) -> None:
        """Create a list that lags by one second."""
        super().setUp()
        vm = StandinVmSettings(
            name="w1", availability_zone="arima", rack="r1", url="http://h:1"
        )
        self.vms = LaggingVmList([vm], 1.0)

    def test_list_shows_past_states(self) -> None:
        """Guards against a list that shows a state before its lag is over."""
        self.vms.set_phase("w1", VmPhase.LEAVING, 10.0)
        self.vms.set_phase("w1", VmPhase.GONE, 12.0)
        self.assertEqual(["live"], self._states(10.9))
        self.assertEqual(["leaving"], self._states(11.0))
        self.assertEqual(["leaving"], self._states(12.9))
        self.assertEqual([], self._states(13.0))
        self.assertEqual(["live"], self._states(13.0, extra_lag_s=3.0))
        self.vms.set_phase("w1", VmPhase.LIVE, 20.0)
        self.assertEqual(
            [[], ["live"]], [self._states(20.9), self._states(21.0)]
        )
