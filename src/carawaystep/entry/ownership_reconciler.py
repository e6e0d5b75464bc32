"""Takes over and hands over the workers of this availability zone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.worker_session import WorkerSession
from carawaystep.fleet.vm_state import VmState
from carawaystep.membership.owner_row import owner_key
from carawaystep.membership.owner_row import OwnerRow
from carawaystep.membership.owner_row import OWNERS_TABLE
from carawaystep.store.operation import PutRow
from carawaystep.worker.fencing_guard import FencingGuard
from carawaystep.worker.worker import Worker

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.entry.owners_follower import OwnersFollower
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.fleet.vm import Vm
    from carawaystep.membership.ownership import Ownership

_RECONCILE_INTERVAL_S = 0.5

# A worker accepts no work for about a second during a handover, so an entry
# hands over one worker at a time.
_MIN_HANDOVER_INTERVAL_S = 2.0


class OwnershipReconciler:
    """Compares the planned owners with the owner rows, twice a second.

    It takes over workers that are planned for this entry, hands over those
    that are planned for another one, and runs one session for each owned
    worker.
    """

    def __init__(
        self,
        state: EntryState,
        pool: WorkerPool,
        repository: JobRepository,
        owners_follower: OwnersFollower,
        supervisor: Supervisor,
    ) -> None:
        """Create a reconciler without sessions.

        :param state: shared state of the entry process
        :param pool: sessions with the owned workers
        :param repository: reads and writes job rows for the sessions
        :param owners_follower: follows the owner rows
        :param supervisor: runs the sessions' tasks
        """
        self._state = state
        self._pool = pool
        self._repository = repository
        self._owners_follower = owners_follower
        self._supervisor = supervisor
        self._served_epochs: dict[str, int] = {}
        self._next_handover_at = 0.0

    async def run(self) -> None:
        """Reconcile ownership until cancelled."""
        while True:
            if (
                self._owners_follower.has_caught_up
                and self._state.fleet_view.vms_known
            ):
                await self.reconcile_once()
            await asyncio.sleep(_RECONCILE_INTERVAL_S)

    async def reconcile_once(self) -> None:
        """Reconcile the owner of each VM of this availability zone once."""
        plan = self._plan()
        for vm in self._state.fleet_view.own_vms():
            session = self._pool.find(vm.name)
            if session is None:
                await self._reconcile_unserved_worker(vm, plan.get(vm.name))
                continue
            if vm.state is VmState.LEAVING and session.worker.mark_leaving():
                self._state.record_event("worker.leaving", vm.name)
            await self._hand_over_if_planned(session, plan.get(vm.name))
        self._revoke_missing_vms()

    async def hand_over_all(self) -> None:
        """Hand every worker over to another live entry before a stop."""
        plan = self._plan()
        for session in self._pool.sessions:
            ownership = session.ownership
            new_owner = plan.get(ownership.worker, "")
            record = self._state.directory.find(new_owner)
            if record is None or record.name == ownership.entry:
                continue
            session.worker.guard.revoke()
            new_ownership = self._state.ownership_policy.transfer(
                ownership, record.name, record.incarnation
            )
            await self._write_ownership(new_ownership, session.worker.vm)

    def _plan(self) -> dict[str, str]:
        return self._state.ownership_policy.plan(
            (vm.name for vm in self._state.fleet_view.own_vms()),
            self._state.fleet_view.own_zone,
            self._state.now,
        )

    async def _reconcile_unserved_worker(
        self, vm: Vm, planned: str | None
    ) -> None:
        if self._state.draining:
            return
        current = self._state.owners.get(vm.name)
        if current is not None and self._is_unused_epoch(current):
            self._start_session(vm, current)
            return
        ownership = self._state.ownership_policy.plan_unserved_worker(
            vm.name, planned, current, self._state.now
        )
        if ownership is not None:
            await self._write_ownership(ownership, vm)

    def _is_unused_epoch(self, current: Ownership) -> bool:
        """Return whether the row names this process and an unused epoch.

        An epoch that was served before cannot be used again, because its
        fencing tokens have already been sent.
        """
        if current.incarnation != self._state.incarnation:
            return False
        return current.epoch > self._served_epochs.get(current.worker, 0)

    async def _hand_over_if_planned(
        self, session: WorkerSession, planned: str | None
    ) -> None:
        worker = session.worker
        now = self._state.now
        if worker.guard.revoked:
            return
        new_ownership = self._state.ownership_policy.plan_handover(
            session.ownership, planned, now
        )
        if new_ownership is None or now < self._next_handover_at:
            return
        self._next_handover_at = now + _MIN_HANDOVER_INTERVAL_S
        self._state.ownership_policy.reset_handover_delay(worker.name)
        worker.guard.revoke()
        self._state.record_event(
            "worker.handed-over", worker.name, to=new_ownership.entry
        )
        await self._write_ownership(new_ownership, worker.vm)

    async def _write_ownership(self, ownership: Ownership, vm: Vm) -> None:
        """Write an owner row and start a session if it names this process.

        If the answer is lost, the owners follower reads the outcome.
        """
        operation = PutRow(
            OWNERS_TABLE,
            owner_key(vm.availability_zone, ownership.worker),
            ownership.version,
            OwnerRow.from_ownership(ownership).to_value(),
        )
        written = await self._state.ports.store.transact([operation])
        if not isinstance(written, Ok):
            self._state.counters.count("owner_writes_failed")
            return
        stored = ownership.at_version(written.ok_value.versions[0])
        self._state.owners[ownership.worker] = stored
        if stored.incarnation == self._state.incarnation:
            self._start_session(vm, stored)

    def _start_session(self, vm: Vm, ownership: Ownership) -> None:
        self._served_epochs[vm.name] = ownership.epoch
        worker = Worker(vm, FencingGuard(ownership.epoch))
        if vm.state is VmState.LEAVING:
            worker.mark_leaving()
        session = WorkerSession(
            self._state,
            self._repository,
            worker,
            self._state.ports.worker(vm),
            ownership,
        )
        self._pool.add(session)
        self._state.record_event(
            "worker.owned", vm.name, epoch=ownership.epoch
        )
        self._supervisor.spawn(
            f"worker {vm.name}", lambda: self._run_session(session)
        )

    async def _run_session(self, session: WorkerSession) -> None:
        try:
            await session.run()
        finally:
            self._pool.remove(session)

    def _revoke_missing_vms(self) -> None:
        """Revoke ownership of workers whose VM is no longer listed."""
        for session in self._pool.sessions:
            if self._state.fleet_view.find_vm(session.worker.name) is None:
                session.worker.guard.revoke()
                self._state.record_event("worker.gone", session.worker.name)
