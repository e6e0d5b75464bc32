"""Resource usage of a stand-in worker, reported with a lag."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from carawaystep.standin.worker.usage_row import UsageRow
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution
    from carawaystep.worker.work_kind import WorkKind


class UsageLog:
    """Totals by service and kind of work.

    An execution is included only when the lag has passed since its end.
    """

    def __init__(self, lag_s: float) -> None:
        """Create an empty log.

        :param lag_s: lag of the totals in seconds
        """
        self._lag_s = lag_s
        self._pending: deque[tuple[float, Execution]] = deque()
        self._rows: dict[tuple[str, WorkKind], UsageRow] = {}

    def append(self, execution: Execution, now: float) -> None:
        """Append an ended execution.

        :param execution: its ledger record, with the end set
        :param now: current monotonic time in seconds
        """
        self._pending.append((now, execution))

    def rows(self, now: float, extra_lag_s: float) -> tuple[UsageRow, ...]:
        """Return the totals as they were before both lags.

        They never decrease, even if a lag grows.

        :param now: current monotonic time in seconds
        :param extra_lag_s: seconds added to the usual lag
        """
        as_of = now - self._lag_s - extra_lag_s
        while self._pending and self._pending[0][0] <= as_of:
            self._add_execution(self._pending.popleft()[1])
        return tuple(self._rows.values())

    def _add_execution(self, execution: Execution) -> None:
        key = (execution.service, execution.kind)
        row = self._rows.setdefault(key, UsageRow(*key))
        end = execution.start if execution.end is None else execution.end
        run_s = end - execution.start
        row.ended += 1
        row.failed += execution.how is ExecutionEnd.FAILED
        row.run_s += run_s
        row.cpu_s += run_s * execution.needs.cpu
