"""Tests that each check reports violations and nothing else."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from carawaystep.job.job_state import JobState
from tests.tools.prove.run_logs import call
from tests.tools.prove.run_logs import ledger
from tests.tools.prove.run_logs import RunLogs
from tests.tools.prove.run_logs import snapshot
from tests.tools.prove.run_logs import TOPOLOGY
from tests.tools.prove.run_logs import URL
from tools.prove.accepted_edit import AcceptedEdit
from tools.prove.answer_check import AnswerCheck
from tools.prove.document_in_force_check import DocumentInForceCheck
from tools.prove.document_version_check import DocumentVersionCheck
from tools.prove.job_check import JobCheck
from tools.prove.leaving_worker_check import LeavingWorkerCheck
from tools.prove.planned_stop import PlannedStop
from tools.prove.planned_stop_check import PlannedStopCheck
from tools.prove.process_check import ProcessCheck
from tools.prove.takeover_check import TakeoverCheck


class CheckTest(TestCase):
    """Feeds each check with a violation and with allowed observations."""

    def setUp(self) -> None:
        """Create empty logs."""
        super().setUp()
        self.logs = RunLogs()

    def _assert_violations(self, *parts: str) -> None:
        self.assertEqual(len(parts), len(self.logs.texts), self.logs.texts)
        for part, text in zip(parts, self.logs.texts, strict=True):
            self.assertIn(part, text)

    def test_document_reverts(self) -> None:
        """Guards against missing a document that reverts or disappears."""
        check = DocumentVersionCheck(self.logs.violations)
        for version in (2, 3):
            check.observe(
                snapshot("e1", version, documents={"s": (version, "")})
            )
        self._assert_violations()
        check.observe(snapshot("e1", 4, documents={"s": (2, "")}))
        check.observe(snapshot("e1", 5))
        self._assert_violations(
            "from version 3 to 2", "lost the document of s"
        )

    def test_document_not_in_force(self) -> None:
        """Guards against missing an edit that an entry does not apply."""
        check = DocumentInForceCheck(self.logs.faults, self.logs.violations)
        self.logs.fault("platform", 12, 20)
        check.record_edit(AcceptedEdit("s", 2, "new", accepted_at=10))
        old = {"s": (1, "old")}
        check.observe(snapshot("e1", 35.9, documents=old))
        check.observe(snapshot("e2", 35.9, documents={"s": (2, "new")}))
        self._assert_violations()
        check.observe(snapshot("e1", 36.1, documents=old))
        self._assert_violations("still has version 1")

    def test_starting_process_is_not_checked(self) -> None:
        """Guards against a false alarm for a start during an outage."""
        check = DocumentInForceCheck(self.logs.faults, self.logs.violations)
        check.record_edit(AcceptedEdit("s", 2, "new", accepted_at=10))
        starting = replace(snapshot("e1", 40), phase="starting")
        check.observe(starting)
        self._assert_violations()
        check.observe(replace(starting, phase="draining"))
        self._assert_violations("still has version 0")

    def test_version_accepted_twice(self) -> None:
        """Guards against missing one version that is accepted twice."""
        check = DocumentInForceCheck(self.logs.faults, self.logs.violations)
        check.record_edit(AcceptedEdit("s", 2, "one", accepted_at=10))
        check.record_edit(AcceptedEdit("s", 2, "two", accepted_at=10))
        check.observe(snapshot("e1", 11, documents={"s": (2, "two")}))
        self._assert_violations("accepted twice", "another text")

    def test_worker_without_owner(self) -> None:
        """Guards against missing workers that get no new owner."""
        check = TakeoverCheck(TOPOLOGY, self.logs.faults, self.logs.violations)
        check.observe(snapshot("e1", 9, workers=("w1", "w2")))
        check.record_kill(1, self.logs.fault("e1", 10, None))
        check.observe(snapshot("e2", 15, workers=("w1",)))
        check.observe(snapshot("e2", 21.4, workers=("w1",)))
        self._assert_violations()
        check.observe(snapshot("e2", 21.6, workers=("w1",)))
        self._assert_violations("w2 has no owner")

    def test_takeover_waits_for_the_platform(self) -> None:
        """Guards against false alarms in an outage of the platform."""
        check = TakeoverCheck(TOPOLOGY, self.logs.faults, self.logs.violations)
        check.observe(snapshot("e1", 9, workers=("w1",)))
        check.record_kill(1, self.logs.fault("e1", 10, None))
        self.logs.fault("platform", 12, 30)
        check.observe(snapshot("e2", 41))
        self._assert_violations()
        check.observe(snapshot("e2", 41.6))
        self._assert_violations("w1 has no owner")

    def test_work_on_leaving_worker(self) -> None:
        """Guards against missing work that starts after the deadline."""
        for method, late in (
            ("record_worker_notice", 13.1),
            ("record_vm_list_notice", 14.1),
        ):
            check = LeavingWorkerCheck(
                TOPOLOGY, self.logs.faults, self.logs.violations
            )
            getattr(check, method)("w1", 10)
            check.check_executions(
                [ledger("w1", late - 0.2), ledger("w2", late)]
            )
            self._assert_violations()
            check.check_executions([ledger("w1", late)])
            self._assert_violations("w1 got new work")
            self.logs = RunLogs()

    def test_call_without_response_at_planned_stop(self) -> None:
        """Guards against missing requests that a planned stop aborts."""
        check = PlannedStopCheck(
            TOPOLOGY, self.logs.faults, self.logs.violations
        )
        record = self.logs.fault("e1", 10, 20)
        check.record_stop(PlannedStop("e1", URL, 10, 12, 0), record)
        before = call(status=None, start=8, latency_s=1)
        check.check_calls([before, call(start=9, latency_s=2)])
        self._assert_violations()
        check.check_calls([call(status=None, start=9, latency_s=2)])
        self._assert_violations("1 calls of entry e1 got no response")

    def test_exit_code_of_planned_stop(self) -> None:
        """Guards against missing an incomplete drain without a fault."""
        check = PlannedStopCheck(
            TOPOLOGY, self.logs.faults, self.logs.violations
        )
        record = self.logs.fault("e1", 10, 20)
        check.record_stop(PlannedStop("e1", URL, 10, 16, 75), record)
        self._assert_violations("exit code 75")
        self.logs.fault("w1", 11, 12)
        check.record_stop(PlannedStop("e1", URL, 10, 16, 75), record)
        check.record_stop(PlannedStop("e1", URL, 10, 16, None), record)
        self._assert_violations("exit code 75", "exit code None")

    def test_answers(self) -> None:
        """Guards against missing an incomplete or misdirected answer."""
        check = AnswerCheck(self.logs.violations)
        ledgers = [ledger("w1", 1, id="r2/1", key="k")]
        own = call(b'{"request_id": "r1/1", "sha256": "d"}')
        of_repeated_key = call(b'{"request_id": "r2/1", "sha256": "d"}')
        check.check_answers([own, of_repeated_key], ledgers)
        self._assert_violations()
        check.check_answers(
            [
                call(b'{"request_id": "r1/1", "sha256"'),
                call(b'{"request_id": "r1/1", "sha256": "e"}'),
                call(b'{"request_id": "r3/1", "sha256": "d"}'),
            ],
            ledgers,
        )
        self._assert_violations(
            "not a complete JSON object", "another body", "another request"
        )

    def test_jobs(self) -> None:
        """Guards against missing lost jobs and jobs rerun after their end."""
        check = JobCheck(self.logs.violations)
        check.check_open_jobs({})
        check.check_executions(
            {"j": 6.0}, [ledger("w1", 5, id="j", kind="task")]
        )
        self._assert_violations()
        check.check_open_jobs({"j": JobState.QUEUED})
        check.check_executions(
            {"j": 4.0}, [ledger("w1", 5, id="j", kind="task")]
        )
        self._assert_violations(
            "have not ended", "after they were reported done"
        )

    def test_processes(self) -> None:
        """Guards against missing failed processes and tracebacks."""
        check = ProcessCheck(self.logs.violations)
        check.check_finished_process("e1", 0, "entry.serving\n")
        self._assert_violations()
        check.check_finished_process(
            "e1", 70, "Traceback (most recent call last):\n"
        )
        check.record_unexpected_exit("e2", 1)
        self._assert_violations("code 70", "traceback", "unexpectedly")
