"""Faulty variants of the scheduler that simulations must detect."""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack
from contextlib import nullcontext
from typing import TYPE_CHECKING
from unittest.mock import patch

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.fleet.order import StartOrder
from carawaystep.planner.cancellations import Cancellations
from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.lost_runs import LostRuns
from carawaystep.scheduler import member
from carawaystep.scheduler import tables
from carawaystep.scheduler.caller_repository import CallerRepository
from carawaystep.scheduler.leader_term import LeaderTerm
from carawaystep.scheduler.lease_extensions import LeaseExtensions
from carawaystep.scheduler.published_state_cache import PublishedStateCache
from carawaystep.scheduler.waiting_calls import WaitingCalls
from carawaystep.scheduler.worker_callers import WorkerCallers
from tests.scheduler.simulation.lack_of_room import lack_of_room
from tests.scheduler.simulation.lack_of_room import refuse_what_is_admitted
from tests.scheduler.simulation.simulated_store import SimulatedStore
from tests.scheduler.simulation.simulated_worker_link import (
    SimulatedWorkerLink,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence
    from contextlib import AbstractContextManager

    from carawaystep.availability_zone.evacuation_request import (
        EvacuationRequest,
    )
    from carawaystep.fleet.order import Order
    from carawaystep.fleet.order_outcome import OrderOutcome
    from carawaystep.scheduler.waiting_calls import WaitingCall
    from carawaystep.store.operation import Operation
    from carawaystep.workflow.workflow_state import WorkflowState
    from tests.scheduler.simulation.worker_connection import WorkerConnection


def _confirm_by_any_commit() -> AbstractContextManager[object]:
    """Confirm a cancellation by a commit that does not hold it."""

    def take_answered(
        calls: WaitingCalls, workflow_id: str, stored_state: WorkflowState
    ) -> list[WaitingCall]:
        return calls._calls.pop(workflow_id, [])

    return patch.object(WaitingCalls, "take_answered", take_answered)


@contextmanager
def _drop_early_cancellations() -> Iterator[None]:
    """Ignore a stored cancellation that is read before its submission.

    Transactions that store placements do not look for it either.
    """

    def cancel(cancellations: Cancellations, workflow_id: str) -> bool:
        return cancellations.cancel(workflow_id, "store")

    transact = SimulatedStore.transact

    def transact_unchecked(
        store: SimulatedStore, operations: Sequence[Operation]
    ) -> object:
        checked = [
            operation
            for operation in operations
            if operation.table != tables.CANCELS or operation.expected is None
        ]
        return transact(store, checked)

    with ExitStack() as stack:
        stack.enter_context(
            patch.object(Cancellations, "cancel_or_keep", cancel)
        )
        stack.enter_context(
            patch.object(SimulatedStore, "transact", transact_unchecked)
        )
        yield


def _number_calls_from_one() -> AbstractContextManager[object]:
    """Let each process number its calls from 1."""
    return patch.object(member, "randbits", lambda bits: 1)


def _keep_unfinished_states() -> AbstractContextManager[object]:
    """Keep states of which an update may be missing."""
    return patch.object(
        PublishedStateCache, "_drop_unfinished", lambda cache: None
    )


def _store_first_callers_only() -> AbstractContextManager[object]:
    """Let members call workers that have other stored callers."""
    store = CallerRepository.store

    async def store_first(
        repository: CallerRepository,
        callers: Mapping[str, frozenset[str]],
    ) -> dict[str, frozenset[str]]:
        first = {
            worker_id: addresses
            for worker_id, addresses in callers.items()
            if not repository._versions.get(worker_id)
        }
        await store(repository, first)
        return dict(callers)

    return patch.object(CallerRepository, "store", store_first)


def _drop_former_callers() -> AbstractContextManager[object]:
    """Forget a former caller while it may still call the worker."""

    def is_droppable(*_: object) -> bool:
        return True

    return patch.object(WorkerCallers, "_is_droppable", is_droppable)


def _ignore_silent_callers() -> AbstractContextManager[object]:
    """Take a caller that does not follow the term for a stopped one."""
    caller_end = EarlierLeases._caller_end

    def caller_end_at(
        leases: EarlierLeases, address: str, worker_id: str
    ) -> float:
        if address not in leases._followed_at:
            return 0.0
        return caller_end(leases, address, worker_id)

    return patch.object(EarlierLeases, "_caller_end", caller_end_at)


def _forget_extensions() -> AbstractContextManager[object]:
    """Tell a new leader of no extension."""

    def ages_s(extensions: LeaseExtensions, now: float) -> dict[str, float]:
        return {}

    return patch.object(LeaseExtensions, "ages_s", ages_s)


def _grant_without_majority() -> AbstractContextManager[object]:
    """Let a leader give grants whose term nobody confirms."""
    return patch.object(LeaderTerm, "verified_at", lambda term: term.now)


def _take_changes_for_all_rows() -> AbstractContextManager[object]:
    """End evacuations whose rows a read of changes does not list."""
    adopt = EvacuatedZones.adopt

    def adopt_all(
        zones: EvacuatedZones,
        requests: list[EvacuationRequest],
        revision: int,
        is_complete: bool,
        now: float,
    ) -> object:
        return adopt(zones, requests, revision, True, now)

    return patch.object(EvacuatedZones, "adopt", adopt_all)


def _plan_in_evacuated_zones() -> AbstractContextManager[object]:
    """Let leader and members ignore the operator's requests."""
    return patch.object(
        EvacuatedZones, "accepts_work", lambda zones, name: True
    )


@contextmanager
def _start_on_unchecked_connections() -> Iterator[None]:
    """Send starts to whatever lifetime a connection leads to.

    The leader does not allow for it: it waits for the leases of the lifetime
    that it knows only.
    """
    check = SimulatedWorkerLink._check

    async def check_others(
        link: SimulatedWorkerLink,
        connection: WorkerConnection,
        order: Order,
        token: int,
    ) -> OrderOutcome | None:
        if isinstance(order, StartOrder):
            return None
        return await check(link, connection, order, token)

    with (
        patch.object(SimulatedWorkerLink, "_check", check_others),
        patch.object(
            LostRuns,
            "_may_be_on_unseen_lifetime",
            lambda lost_runs, ref, tracked: False,
        ),
    ):
        yield


_VARIANTS = {
    "none": nullcontext,
    "confirm-by-any-commit": _confirm_by_any_commit,
    "drop-early-cancellations": _drop_early_cancellations,
    "number-calls-from-one": _number_calls_from_one,
    "keep-unfinished-states": _keep_unfinished_states,
    "store-first-callers-only": _store_first_callers_only,
    "drop-former-callers": _drop_former_callers,
    "ignore-silent-callers": _ignore_silent_callers,
    "forget-extensions": _forget_extensions,
    "grant-without-majority": _grant_without_majority,
    "take-changes-for-all-rows": _take_changes_for_all_rows,
    "plan-in-evacuated-zones": _plan_in_evacuated_zones,
    "start-on-unchecked-connections": _start_on_unchecked_connections,
    "lack-of-room": lack_of_room,
    "refuse-what-is-admitted": refuse_what_is_admitted,
}
VARIANT_NAMES = tuple(_VARIANTS)


def faulty_variant(name: str) -> AbstractContextManager[object]:
    """Return a context in which the scheduler has a fault.

    It has none in the contexts "none" and "lack-of-room".

    :param name: one of ``VARIANT_NAMES``
    """
    return _VARIANTS[name]()
