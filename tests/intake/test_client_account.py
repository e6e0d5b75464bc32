"""Tests of the decisions about clients, without a network."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
from testtools import TestCase

from carawaystep.intake.client_account import ClientAccount
from carawaystep.intake.client_account import Opening
from carawaystep.intake.client_connection import Admission
from carawaystep.intake.client_connection import ConnectionPhase
from carawaystep.intake.client_limits import ClientLimits
from carawaystep.intake.client_limits import CONNECTION_BYTES
from carawaystep.intake.client_limits import ListenerLimits

_PEERS = ("10.0.0.1", "10.0.0.2")
_FRONT = ListenerLimits(max_connections=4, backlog=8, accept_batch=4)
_LIMITS = ClientLimits(
    max_bytes=8 * CONNECTION_BYTES, front=_FRONT, operations=_FRONT
)
_BODY_LIMIT = _LIMITS.max_body_bytes


class ClientAccountTest(TestCase):
    """Crowds that take all connections or all memory."""

    def setUp(self) -> None:
        """Create an account with room for four connections."""
        super().setUp()
        self.account = ClientAccount(_LIMITS)

    def _open(self, peer: str = _PEERS[0], now: float = 0.0) -> Opening:
        return self.account.open("front", _FRONT, peer, now)

    def test_one_peer_leaves_connections_to_others(self) -> None:
        """Guards against a peer that takes all connections."""
        for _ in range(3):
            self.assertIs(
                Admission.ADMITTED, self._open().connection.admission
            )
        self.assertIs(Admission.REFUSED, self._open().connection.admission)
        other = self._open(_PEERS[1]).connection
        self.assertIs(Admission.ADMITTED, other.admission)

    def test_longest_waiting_connection_makes_room(self) -> None:
        """Guards against stalled clients that keep out all others."""
        first, second, third = (
            self._open(now=number / 10).connection for number in range(3)
        )
        first.enter(ConnectionPhase.ANSWER, 0.3)
        second.enter(ConnectionPhase.BODY, 0.3)
        self.assertIsNone(self._open(now=0.9).evicted)
        self.assertIs(third, self._open(now=1.25).evicted)
        self.assertIs(second, self._open(now=1.35).evicted)

    def test_answered_connection_is_never_closed(self) -> None:
        """Guards against an accepted request without an answer."""
        for _ in range(3):
            self._open().connection.enter(ConnectionPhase.ANSWER, 0.0)
        late = self._open(now=1000.0)
        self.assertIsNone(late.evicted)
        self.assertIs(Admission.REFUSED, late.connection.admission)

    def test_refusals_are_bounded(self) -> None:
        """Guards against refused clients that hold descriptors."""
        for _ in range(3):
            self._open()
        refused = self._open().connection
        self.assertIs(Admission.REFUSED, refused.admission)
        self.assertIs(Admission.DROPPED, self._open().connection.admission)
        self.account.close(refused)
        self.assertIs(Admission.REFUSED, self._open().connection.admission)

    def test_body_without_room_is_refused(self) -> None:
        """Guards against bodies that take the room of calls without one."""
        young, state_call = self._open().connection, self._open().connection
        young.enter(ConnectionPhase.BODY, 0.0)
        state_call.enter(ConnectionPhase.HEAD, 0.0)
        room = _BODY_LIMIT - self.account.held_bytes
        self.assertTrue(self.account.charge(young, room, 0.5).accepted)
        self.assertFalse(self.account.charge(young, 1, 0.5).accepted)
        self.assertTrue(self.account.charge(state_call, 100, 0.5).accepted)

    def test_stalled_body_makes_room(self) -> None:
        """Guards against unfinished bodies that keep out others."""
        stalled, young = self._open().connection, self._open().connection
        stalled.enter(ConnectionPhase.BODY, 0.0)
        self.account.charge(stalled, 5 * CONNECTION_BYTES, 0.0)
        young.enter(ConnectionPhase.BODY, 2.0)
        charge = self.account.charge(young, CONNECTION_BYTES, 2.0)
        self.assertEqual((True, (stalled,)), (charge.accepted, charge.evicted))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["open", "close", "charge", "keep"]),
                strategies.integers(0, 5),
                strategies.integers(0, 3 * CONNECTION_BYTES),
                strategies.sampled_from(ConnectionPhase),
            ),
            max_size=60,
        )
    )
    def test_sums_agree_and_end_at_zero(
        self, steps: list[tuple[str, int, int, ConnectionPhase]]
    ) -> None:
        """Guards against room that is lost with each client."""
        account = ClientAccount(_LIMITS)
        connections = [
            account.open("front", _FRONT, peer, 0.0).connection
            for peer in _PEERS
        ]
        for now, (action, index, count, phase) in enumerate(steps):
            connection = connections[index % len(connections)]
            if action == "open":
                peer = _PEERS[index % 2]
                opening = account.open("front", _FRONT, peer, now)
                connections.append(opening.connection)
            elif action == "close":
                account.close(connection)
            elif action == "keep":
                account.keep(connection, count)
            else:
                connection.enter(phase, now)
                charge = account.charge(connection, count, now)
                if charge.accepted and phase is not ConnectionPhase.ANSWER:
                    self.assertLessEqual(account.held_bytes, _LIMITS.max_bytes)
            held = sum(other.held_bytes for other in connections)
            self.assertEqual(held, account.held_bytes)
        for connection in connections:
            account.close(connection)
        self.assertEqual(
            (0, 0), (account.held_bytes, account.open_connections)
        )


class ClientLimitsTest(TestCase):
    """Limits derived from a machine."""

    def test_smallest_machine(self) -> None:
        """Guards against defaults that ordinary load meets."""
        limits = ClientLimits.for_machine(200, 4100)
        self.assertGreaterEqual(limits.front.max_peer_connections, 500)
        self.assertLessEqual(limits.max_bytes, 50_000_000)

    def test_few_descriptors(self) -> None:
        """Guards against connections beyond the machine's descriptors."""
        limits = ClientLimits.for_machine(4000, 400)
        listeners = (limits.front, limits.operations, limits.operations)
        # Up to three batches are on their way to the decision.
        most = sum(
            one.max_connections + 3 * one.accept_batch for one in listeners
        )
        self.assertLessEqual(most, 200)
