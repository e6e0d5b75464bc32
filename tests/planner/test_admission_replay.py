"""Whom refusals help and harm in bursts of urgent work and batch work."""

from __future__ import annotations

from testtools import TestCase

from tests.planner.admission_replay import AdmissionReplay
from tests.planner.admission_replay import ReplayLoad

# The factors of the bursts are those of a deployment in service.
_OVERLOAD = ReplayLoad(1.3, 0.3, urgent_burst=1.8, batch_burst=2.6)
_ROOM = ReplayLoad(0.4, 0.2, urgent_burst=1.4, batch_burst=1.3)
_SEED = 2
_URGENT = 0
_BATCH = 2


class AdmissionReplayTest(TestCase):
    """Refusals of batch work behind urgent work."""

    def test_only_callers_that_would_not_be_served_are_refused(self) -> None:
        """Guards against work that is kept waiting in vain, or turned away.

        Refusals leave as many callers served, of each kind and size, and
        strike the largest ones no more than half as often again.
        """
        without, refusing = (
            AdmissionReplay(_OVERLOAD, _SEED, admission)
            for admission in (False, True)
        )
        without.run()
        refusing.run()
        for priority in (_URGENT, _BATCH):
            for largest in (1.0, 0.1):
                self.assertGreaterEqual(
                    refusing.served(priority, largest).of_use,
                    without.served(priority, largest).of_use,
                )
        self.assertEqual(0.0, refusing.served(_URGENT).refused)
        refused = refusing.served(_BATCH).refused
        self.assertGreater(refused, 0.3)
        refused_large = refusing.served(_BATCH, 0.1).refused
        self.assertLessEqual(refused_large, 1.5 * refused)

    def test_nothing_is_refused_while_there_is_room(self) -> None:
        """Guards against refusals on a forecast's doubt."""
        replay = AdmissionReplay(_ROOM, _SEED, admission=True)
        replay.run()
        self.assertEqual(0, replay.refusal_count)
