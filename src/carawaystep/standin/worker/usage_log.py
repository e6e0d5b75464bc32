"""Usage of a stand-in worker, which becomes known late."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from carawaystep.standin.worker.usage_row import UsageRow
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution
    from carawaystep.worker.work_kind import WorkKind


class UsageLog:
    """Totals by service and kind, which lag behind the ends."""

    def __init__(self, lag_s: float) -> None:
        """Create a log without usage.

        :param lag_s: age of the totals, seconds
        """
        self._lag_s = lag_s
        self._pending: deque[tuple[float, Execution]] = deque()
        self._rows: dict[tuple[str, WorkKind], UsageRow] = {}

    def append(self, execution: Execution, now: float) -> None:
        """Add an execution that has ended.

        :param execution: its record with end
        :param now: present time, seconds of a monotonic clock
        """
        self._pending.append((now, execution))

    def rows(self, now: float, further_lag_s: float) -> tuple[UsageRow, ...]:
        """Return the totals as they were some time ago.

        They never go back, even when the lag becomes longer.
        """
        seen_at = now - self._lag_s - further_lag_s
        while self._pending and self._pending[0][0] <= seen_at:
            self._add(self._pending.popleft()[1])
        return tuple(self._rows.values())

    def _add(self, execution: Execution) -> None:
        place = (execution.service, execution.kind)
        row = self._rows.setdefault(place, UsageRow(*place))
        end = execution.start if execution.end is None else execution.end
        run_s = end - execution.start
        row.ended += 1
        row.failed += execution.how is ExecutionEnd.FAILED
        row.run_s += run_s
        row.cpu_s += run_s * execution.needs.cpu
