"""Change feeds that a leader follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.scheduler import tables
from carawaystep.scheduler.change_feed import ChangeFeed
from carawaystep.scheduler.stored_rows import parse_spec

if TYPE_CHECKING:
    import asyncio

    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.member_sessions import MemberSessions
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth

_FEED_LONG_POLL_S = 2.0


class LeaderFeeds:
    """Passes new rows of the scheduler's tables to the parts of a term."""

    def __init__(
        self,
        ports: SchedulerPorts,
        store_health: StoreHealth,
        planner: Planner,
        sessions: MemberSessions,
        plan_requested: asyncio.Event,
    ) -> None:
        """Create feeds of which nothing is read yet.

        :param ports: clock, store and log
        :param store_health: records the answers and failures of the store
        :param planner: admits and cancels workflows
        :param sessions: sessions with the members
        :param plan_requested: set when the planner has to plan again
        """
        self._ports = ports
        self._store_health = store_health
        self._planner = planner
        self._sessions = sessions
        self._plan_requested = plan_requested

    def open(self, table: str, since: int = 0) -> ChangeFeed:
        """Return a feed of a table.

        :param since: revision after which changes are read, 0 to start with
            a full read
        """
        return ChangeFeed(
            self._ports, self._store_health, table, _FEED_LONG_POLL_S, since
        )

    async def follow_members(self) -> None:
        """Open a session with each member until the task is cancelled."""
        feed = self.open(tables.MEMBERS)
        while True:
            for row in await feed.read():
                self._sessions.open(row)

    async def follow_submissions(self, revision: int) -> None:
        """Admit the workflows that members store.

        :param revision: revision after which the table is read
        """
        feed = self.open(tables.SUBMISSIONS, revision)
        while True:
            for row in await feed.read():
                known = self._planner.state(row.key) is not None
                if row.value is None or known:
                    continue
                spec = parse_spec(row)
                if spec is not None:
                    self._planner.admit(spec, stored=True)
                    self._plan_requested.set()

    async def follow_cancels(self, revision: int) -> None:
        """Apply the cancellations that members store.

        :param revision: revision after which the table is read
        """
        feed = self.open(tables.CANCELS, revision)
        while True:
            for row in await feed.read():
                if row.value is None:
                    continue
                if self._planner.apply_stored_cancellation(row.key):
                    self._plan_requested.set()
