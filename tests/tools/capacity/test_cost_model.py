"""Tests of the cost model."""

from __future__ import annotations

from testtools import TestCase

from tests.tools.capacity.synthetic_measurements import measurements
from tests.tools.capacity.synthetic_measurements import WORKER_BYTES_PER_S
from tools.capacity.cost_model import CostModel
from tools.capacity.plan import planned_sweeps


class CostModelTest(TestCase):
    """Costs at sizes that were not measured."""

    def setUp(self) -> None:
        """Create a model of the synthetic measurements."""
        super().setUp()
        self.model = CostModel(measurements()["slopes"])

    def test_growth_counts_from_the_small_deployment(self) -> None:
        """Guards against counting the 8 workers of the small sample twice."""
        growth = self.model.growth("workers", "workers", 70)
        self.assertAlmostEqual(62 * WORKER_BYTES_PER_S, growth, places=6)

    def test_total_adds_each_growth_once(self) -> None:
        """Guards against adding the workers' VMs by two slopes."""
        total = self.model.total("cpu_percent", {"workers": 24, "vms": 3200})
        self.assertAlmostEqual(1.0 + 2.4, total, places=6)

    def test_every_sweep_has_four_points(self) -> None:
        """Guards against too few points to show that a cost is not linear."""
        for sweep in planned_sweeps():
            self.assertTrue(len(sweep.points) >= 4, sweep.name)
