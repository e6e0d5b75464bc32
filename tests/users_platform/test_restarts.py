"""Test of workers that start again before the leader hears of it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from tests.users_platform.restarts.play import Play
from tests.users_platform.restarts.play import Restart
from tests.users_platform.restarts.play import Setting
from tests.users_platform.restarts.restarting_worker import Cut

# The leader gives the runs of a silent worker up after 8.52 s.
_CUT_DURATION_S = 9.5


class RestartsTest(TestCase):
    """Three nodes, nine workers and three of these that start again."""

    def test_start_on_an_unseen_lifetime_runs_once(self) -> None:
        """Guards against a lease that outlasts the leader's wait.

        A lifetime of which the leader does not hear carries out starts with
        deadlines of the former one's clock, and is cut off.
        """
        restarts = [
            Restart(crash_s=0.5, away_s=0.3, cut_s=0.4, first_row_s=0.5)
            for _ in range(3)
        ]
        with TemporaryDirectory() as directory:
            setting = Setting(Cut.ALL, _CUT_DURATION_S, quiet_crashes=True)
            play = Play(Path(directory), setting, restarts)
            asyncio.run(play.run())
        self.assertEqual([0.0] * 3, [restart.row_at for restart in restarts])
        returned_at = max(restart.returned_at for restart in restarts)
        self.assertTrue(
            any(run.started_at > returned_at for run in play.ledger.runs)
        )
        twice = [
            f"{pair.first.task} on {pair.first.worker} and"
            f" {pair.second.worker} for {pair.seconds:.1f} s"
            for pair in play.ledger.overlaps()
        ]
        self.assertEqual([], twice)
