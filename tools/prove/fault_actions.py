"""Actions that inject the faults of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.connection_silence import ConnectionSilence
from tools.prove.edit_race import EditRace
from tools.prove.entry_kill import EntryKill
from tools.prove.entry_partition import EntryPartition
from tools.prove.entry_pause import EntryPause
from tools.prove.entry_stop import EntryStop
from tools.prove.fault_kind import FaultKind
from tools.prove.standin_fault import StandinFault
from tools.prove.worker_leave import WorkerLeave
from tools.prove.worker_restart import WorkerRestart
from tools.prove.zone_partition import ZonePartition

if TYPE_CHECKING:
    from random import Random

    from tools.entry_rotation import EntryRotation
    from tools.http_caller import HttpCaller
    from tools.launcher import Launcher
    from tools.prove.bulk_cancellation import BulkCancellation
    from tools.prove.fault_action import FaultAction
    from tools.prove.ledger_archive import LedgerArchive
    from tools.prove.relay_port_map import RelayPortMap
    from tools.prove.run_checks import RunChecks
    from tools.prove.topology import Topology


class FaultActions:
    """Creates the action of each kind of fault."""

    def __init__(
        self,
        launcher: Launcher,
        topology: Topology,
        port_map: RelayPortMap,
        checks: RunChecks,
        caller: HttpCaller,
        rotation: EntryRotation,
    ) -> None:
        """Create the factory.

        :param launcher: processes of the deployment
        :param topology: entries and workers of each availability zone
        :param port_map: relays between the processes
        :param checks: are told what a fault allows from then on
        :param caller: sends the calls of faults
        :param rotation: entries to send edits to
        """
        self._launcher = launcher
        self._topology = topology
        self._port_map = port_map
        self._checks = checks
        self._caller = caller
        self._rotation = rotation

    def create(
        self,
        archive: LedgerArchive,
        cancellation: BulkCancellation,
        edit_random: Random,
    ) -> dict[FaultKind, FaultAction]:
        """Return the action of each kind of fault.

        :param archive: keeps the ledgers of workers that are restarted
        :param cancellation: cancels jobs of the load
        :param edit_random: chooses the edits
        """
        standin = StandinFault(self._launcher, self._caller)
        actions = {
            **self._entry_actions(),
            **self._network_actions(),
            **self._worker_actions(archive),
            FaultKind.EDIT_RACE: EditRace(
                self._rotation,
                self._caller,
                self._launcher.token("operators"),
                self._checks.in_force,
                edit_random,
            ),
            FaultKind.CANCEL_WAVE: cancellation,
        }
        return {kind: actions.get(kind, standin) for kind in FaultKind}

    def _entry_actions(self) -> dict[FaultKind, FaultAction]:
        launcher, checks = self._launcher, self._checks
        return {
            FaultKind.KILL_ENTRY: EntryKill(
                launcher, checks.takeover, checks.violations
            ),
            FaultKind.PAUSE_ENTRY: EntryPause(launcher),
            FaultKind.STOP_ENTRY: EntryStop(
                launcher, checks.stops, checks.violations
            ),
        }

    def _network_actions(self) -> dict[FaultKind, FaultAction]:
        return {
            FaultKind.CUT_ZONE: ZonePartition(self._port_map, self._topology),
            FaultKind.CUT_ENTRY: EntryPartition(self._port_map),
            FaultKind.SILENCE: ConnectionSilence(self._port_map),
        }

    def _worker_actions(
        self, archive: LedgerArchive
    ) -> dict[FaultKind, FaultAction]:
        launcher, checks = self._launcher, self._checks
        leave = WorkerLeave(launcher, self._caller, checks.leaving)
        return {
            FaultKind.RESTART_WORKERS: WorkerRestart(
                launcher, archive, checks.leaving, checks.violations
            ),
            FaultKind.WORKER_LEAVES: leave,
            FaultKind.VM_LEAVES: leave,
        }
