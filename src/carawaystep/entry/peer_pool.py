"""Sessions with the peers, which are the other entry processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.peer_session import PeerSession
from carawaystep.membership.rendezvous import ranked
from carawaystep.peer.messages import ForwardRequest
from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.membership.entry_record import EntryRecord
    from carawaystep.request.request import Request

_UPDATE_INTERVAL_S = 1.0

# Sessions with two entries keep an availability zone reachable when one of
# them fails.
_SESSIONS_PER_OTHER_ZONE = 2

# Subtracted from the deadline given to the peer, so that its reply arrives
# before the caller's deadline.
_REPLY_MARGIN_S = 0.05


class PeerPool:
    """Keeps sessions with peers and forwards requests through them.

    There is a session with each live peer of this availability zone that is
    not draining, and with ``_SESSIONS_PER_OTHER_ZONE`` of each other zone.
    """

    def __init__(self, state: EntryState, supervisor: Supervisor) -> None:
        """Create an empty pool.

        :param state: shared state of the entry process
        :param supervisor: runs the sessions' tasks
        """
        self._state = state
        self._supervisor = supervisor
        self._sessions: dict[str, PeerSession] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of the peers that have a session."""
        return tuple(self._sessions)

    async def run(self) -> None:
        """Keep the set of sessions up to date until cancelled."""
        while True:
            self.update_sessions()
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    def update_sessions(self) -> None:
        """Open sessions with new peers and close outdated ones.

        A session is closed when its peer is dead, draining or restarted.
        """
        wanted = {record.name: record for record in self._wanted_peers()}
        for name, session in list(self._sessions.items()):
            record = wanted.get(name)
            if record is None or record.incarnation != session.incarnation:
                self._close_session(name)
        for name, record in wanted.items():
            if name not in self._sessions:
                self._open_session(record)

    def choose(self, now: float, excluded: Collection[str]) -> str | None:
        """Choose a connected peer with free slots.

        Peers of this entry's availability zone come first.

        :param now: current monotonic time in seconds
        :param excluded: names of peers that were already tried
        :returns: name of the peer, None when there is none
        """
        for name in self._state.fleet_view.forward_targets(now, set(excluded)):
            session = self._sessions.get(name)
            if session is not None and session.connected:
                return name
        return None

    async def forward(
        self, peer: str, request: Request, dispatch_id: str
    ) -> Reply:
        """Forward a request to a peer and return its reply.

        The peer gets the dispatch id instead of the request id, so that a
        retry through the same peer uses different ids on the workers.

        :param peer: name of a peer that has a session
        :param request: request that is already recorded as dispatched
        :param dispatch_id: id of this dispatch
        """
        session = self._sessions[peer]
        self._state.fleet_view.reserve_slot(peer)
        now = self._state.now
        remaining_s = request.remaining_s(now)
        message = ForwardRequest(
            sequence=0,
            request_id=dispatch_id,
            service=request.spec.service,
            version=request.spec.version,
            key=request.idempotency_key,
            deadline_s=max(remaining_s - _REPLY_MARGIN_S, 0.0),
            body=request.body,
        )
        result = await session.forward(message, remaining_s)
        if isinstance(result, Ok):
            answer = result.ok_value
            return Reply(
                Outcome(answer.outcome),
                OutcomeReason(answer.reason),
                answer.detail,
                answer.body,
            )
        failure = result.err_value
        if failure.sent:
            return Reply.unknown(OutcomeReason.PEER_SILENT, failure.detail)
        # The message was never sent, as when the link is down.
        return Reply.not_run(OutcomeReason.PEER_SILENT, failure.detail)

    def _wanted_peers(self) -> list[EntryRecord]:
        """Return the records of the peers that are to have a session."""
        state = self._state
        now = state.now
        own_zone = state.settings.availability_zone
        wanted: list[str] = []
        for zone in state.directory.availability_zones(now):
            names = state.directory.active_entry_names(zone, now)
            if zone == own_zone:
                wanted += [n for n in names if n != state.settings.name]
            else:
                wanted += ranked(state.settings.name, names)[
                    :_SESSIONS_PER_OTHER_ZONE
                ]
        found = [state.directory.find(name) for name in wanted]
        return [record for record in found if record is not None]

    def _open_session(self, record: EntryRecord) -> None:
        session = PeerSession(self._state, record)
        self._sessions[record.name] = session
        self._tasks[record.name] = self._supervisor.spawn(
            f"peer {record.name}", session.run
        )

    def _close_session(self, name: str) -> None:
        del self._sessions[name]
        self._tasks.pop(name).cancel()
        self._state.fleet_view.remove_load(name)
