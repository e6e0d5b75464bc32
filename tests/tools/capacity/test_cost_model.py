"""Tests of the extrapolation."""

from __future__ import annotations

from testtools import TestCase

from tests.tools.capacity.synthetic_measurements import measurements
from tests.tools.capacity.synthetic_measurements import WORKER_BYTES_PER_S
from tools.capacity.cost_model import CostModel
from tools.capacity.plan import planned_sweeps


class CostModelTest(TestCase):
    """Costs at sizes that were not measured."""

    def setUp(self) -> None:
        """Fit the made-up figures."""
        super().setUp()
        self.model = CostModel(measurements()["slopes"])

    def test_growth_counts_from_the_small_deployment(self) -> None:
        """Counted from zero, the 8 workers measured would count twice."""
        found = self.model.growth("workers", "workers", 70)
        self.assertAlmostEqual(62 * WORKER_BYTES_PER_S, found, places=6)

    def test_total_adds_each_growth_once(self) -> None:
        """The workers' VMs must not be added by two slopes."""
        total = self.model.total("cpu_percent", {"workers": 24, "vms": 3200})
        self.assertAlmostEqual(1.0 + 2.4, total, places=6)

    def test_every_slope_has_four_sizes(self) -> None:
        """Fewer points would hide that a cost is not linear."""
        for slope in planned_sweeps():
            self.assertTrue(len(slope.points) >= 4, slope.name)
