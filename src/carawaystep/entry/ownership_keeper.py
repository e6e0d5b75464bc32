"""The task that takes workers over and hands them over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.worker_session import WorkerSession
from carawaystep.fleet.vm_state import VmState
from carawaystep.membership.owner_row import owner_key
from carawaystep.membership.owner_row import OwnerRow
from carawaystep.membership.owner_row import TABLE
from carawaystep.store.operation import PutRow
from carawaystep.worker.fencing_guard import FencingGuard
from carawaystep.worker.worker import Worker

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.entry.owners_follower import OwnersFollower
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.fleet.vm import Vm
    from carawaystep.membership.ownership import Ownership

_INTERVAL_S = 0.5

# A worker that is handed over takes no work for about a second, so an entry
# hands over one at a time.
_HANDOVER_INTERVAL_S = 2.0


class OwnershipKeeper:
    """Decides ownership each half second and runs a task per own worker."""

    def __init__(
        self,
        state: EntryState,
        pool: WorkerPool,
        recorder: JobRecorder,
        follower: OwnersFollower,
        supervisor: Supervisor,
    ) -> None:
        """Create a keeper.

        :param state: state of the process
        :param pool: sessions with own workers
        :param recorder: writes the ends of jobs
        :param follower: follows the owner rows
        :param supervisor: runs the sessions' tasks
        """
        self._state = state
        self._pool = pool
        self._recorder = recorder
        self._follower = follower
        self._supervisor = supervisor
        self._served: dict[str, int] = {}
        self._next_handover_at = 0.0

    async def run(self) -> None:
        """Keep ownership until the task is cancelled."""
        while True:
            if self._follower.has_caught_up and self._state.zone.vms_known:
                await self.keep_once()
            await asyncio.sleep(_INTERVAL_S)

    async def keep_once(self) -> None:
        """Decide once for each VM of the own availability zone."""
        plan = self._plan()
        for vm in self._state.zone.own_vms():
            session = self._pool.find(vm.name)
            if session is None:
                await self._consider_takeover(vm, plan.get(vm.name))
                continue
            if vm.state is VmState.LEAVING and session.worker.mark_leaving():
                self._state.record("worker.leaving", vm.name)
            await self._consider_handover(session, plan.get(vm.name))
        self._end_gone()

    async def hand_over_all(self) -> None:
        """Give every worker to another live entry, before a planned stop."""
        plan = self._plan()
        for session in self._pool.sessions:
            own = session.ownership
            better = plan.get(own.worker, "")
            record = self._state.directory.find(better)
            if record is None or record.name == own.entry:
                continue
            session.worker.guard.revoke()
            moved = self._state.ownership_policy.transfer(
                own, record.name, record.incarnation
            )
            await self._write(moved, session.worker.vm)

    def _plan(self) -> dict[str, str]:
        return self._state.ownership_policy.plan(
            (vm.name for vm in self._state.zone.own_vms()),
            self._state.zone.own_zone,
            self._state.now,
        )

    async def _consider_takeover(self, vm: Vm, planned: str | None) -> None:
        if self._state.draining:
            return
        present = self._state.owners.get(vm.name)
        if present is not None and self._is_new(present):
            self._start_session(vm, present)
            return
        wanted = self._state.ownership_policy.plan_takeover(
            vm.name, planned, present, self._state.now
        )
        if wanted is not None:
            await self._write(wanted, vm)

    def _is_new(self, present: Ownership) -> bool:
        """Tell whether the row names this process with an unused epoch.

        An epoch that was served before cannot be used again, because its
        fence tokens have been.
        """
        if present.incarnation != self._state.incarnation:
            return False
        return present.epoch > self._served.get(present.worker, 0)

    async def _consider_handover(
        self, session: WorkerSession, planned: str | None
    ) -> None:
        worker = session.worker
        now = self._state.now
        if worker.guard.revoked:
            return
        moved = self._state.ownership_policy.plan_handover(
            session.ownership, planned, now
        )
        if moved is None or now < self._next_handover_at:
            return
        self._next_handover_at = now + _HANDOVER_INTERVAL_S
        self._state.ownership_policy.reset_handover_delay(worker.name)
        worker.guard.revoke()
        self._state.record("worker.handed-over", worker.name, to=moved.entry)
        await self._write(moved, worker.vm)

    async def _write(self, wanted: Ownership, vm: Vm) -> None:
        """Write an owner row; the follower shows a result that was lost."""
        operation = PutRow(
            TABLE,
            owner_key(vm.availability_zone, wanted.worker),
            wanted.version,
            OwnerRow.from_ownership(wanted).to_value(),
        )
        written = await self._state.ports.table.transact([operation])
        if not isinstance(written, Ok):
            self._state.counters.count("owner_writes_failed")
            return
        stored = wanted.at_version(written.ok_value.versions[0])
        self._state.owners[wanted.worker] = stored
        if stored.incarnation == self._state.incarnation:
            self._start_session(vm, stored)

    def _start_session(self, vm: Vm, ownership: Ownership) -> None:
        self._served[vm.name] = ownership.epoch
        worker = Worker(vm, FencingGuard(ownership.epoch))
        if vm.state is VmState.LEAVING:
            worker.mark_leaving()
        session = WorkerSession(
            self._state,
            self._recorder,
            worker,
            self._state.ports.worker(vm),
            ownership,
        )
        self._pool.add(session)
        self._state.record("worker.owned", vm.name, epoch=ownership.epoch)
        self._supervisor.spawn(
            f"worker {vm.name}", lambda: self._serve(session)
        )

    async def _serve(self, session: WorkerSession) -> None:
        try:
            await session.run()
        finally:
            self._pool.remove(session)

    def _end_gone(self) -> None:
        """End the sessions of VMs that the platform's list dropped."""
        for session in self._pool.sessions:
            if self._state.zone.find_vm(session.worker.name) is None:
                session.worker.guard.revoke()
                self._state.record("worker.gone", session.worker.name)
