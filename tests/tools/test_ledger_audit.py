"""Tests of the ledger audit."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.document.service_kind import ServiceKind
from carawaystep.request.outcome import Outcome
from tools.call_record import CallRecord
from tools.example_service import ExampleService
from tools.ledger import Execution
from tools.ledger import Ledger
from tools.ledger_audit import LedgerAudit

if TYPE_CHECKING:
    from tools.audit_findings import AuditFindings

_SERVICES = (
    ExampleService("renewals", ServiceKind.LATENCY_CRITICAL),
    ExampleService("charge", ServiceKind.LATENCY_CRITICAL, idempotent=False),
    ExampleService("rechecks", ServiceKind.BATCH),
    ExampleService("printing", ServiceKind.STANDING),
)


def _request(
    name: str,
    service: str = "charge",
    key: str | None = "k1",
    how: str | None = "done",
) -> Execution:
    return Execution(
        id=name,
        kind="request",
        key=key,
        service=service,
        attempt=0,
        start=1.0,
        end=2.0,
        how=how,
    )


def _task(
    attempt: int,
    start: float,
    end: float | None,
    how: str | None,
    service: str = "rechecks",
) -> Execution:
    return Execution(
        id="j1",
        kind="task",
        service=service,
        attempt=attempt,
        start=start,
        end=end,
        how=how,
    )


def _call(
    outcome: Outcome,
    name: str | None = "r1",
    key: str | None = "k1",
    service: str = "charge",
) -> CallRecord:
    return CallRecord(service, key, "http://e", outcome, name, 200, 0.01)


def _audit(
    *workers: list[Execution],
    calls: tuple[CallRecord, ...] = (),
    peaks: dict[str, tuple[float, float]] | None = None,
) -> AuditFindings:
    ledgers = [
        Ledger(worker=f"w{number}", executions=executions, peaks=peaks or {})
        for number, executions in enumerate(workers, 1)
    ]
    return LedgerAudit(_SERVICES, ledgers, calls).findings()


class LedgerAuditTest(TestCase):
    """Violations are found, and ledgers without violations pass."""

    def test_valid_ledgers_have_no_findings(self) -> None:
        """Guards against false findings in a run without violations."""
        findings = _audit(
            [_request("r1"), _task(1, 1.0, 5.0, "evicted")],
            [_request("r2", "renewals", None), _task(2, 5.0, 9.0, "done")],
            calls=(
                _call(Outcome.ANSWERED),
                _call(Outcome.ANSWERED, "r2", None, "renewals"),
                _call(Outcome.NOT_RUN, "r3", "k2"),
                _call(Outcome.UNKNOWN, None, "k3"),
            ),
            peaks={"slots": (8, 8)},
        )
        self.assertEqual((), findings.all)

    def test_key_run_on_two_workers(self) -> None:
        """Guards against a charge that ran twice under two request ids."""
        findings = _audit([_request("r1")], [_request("r2", how="failed")])
        self.assertEqual(1, len(findings.executed_twice))

    def test_key_of_an_idempotent_service_may_run_again(self) -> None:
        """Guards against false findings about permitted retries."""
        executions = [_request(name, "renewals") for name in ("r1", "r2")]
        self.assertEqual((), _audit(executions).all)

    def test_request_id_run_twice(self) -> None:
        """Guards against one dispatch that two workers ran."""
        executions = [_request("r1", "renewals", None)]
        findings = _audit(executions, executions)
        self.assertEqual(1, len(findings.executed_twice))

    def test_dispatches_of_one_request(self) -> None:
        """Guards against a charge without a key that is dispatched twice.

        An entry may dispatch an idempotent request more than once.
        """
        names = ("r1/1", "r1/2/1")
        charges = [_request(name, key=None) for name in names]
        self.assertEqual(1, len(_audit(charges).executed_twice))
        renewals = [_request(name, "renewals", None) for name in names]
        calls = (_call(Outcome.ANSWERED, "r1", None, "renewals"),)
        self.assertEqual((), _audit(renewals, calls=calls).all)

    def test_overlapping_attempts_of_a_job(self) -> None:
        """Guards against attempts of one job that overlap in time."""
        findings = _audit(
            [_task(1, 1.0, 5.0, "lapsed")], [_task(2, 4.9, 8.0, "done")]
        )
        self.assertEqual(1, len(findings.executed_twice))

    def test_attempt_beside_one_that_never_ended(self) -> None:
        """Guards against treating a running attempt as an ended one."""
        findings = _audit(
            [_task(1, 1.0, None, None)], [_task(2, 50.0, 51.0, "done")]
        )
        self.assertEqual(1, len(findings.executed_twice))

    def test_long_attempt_overlaps_a_later_one(self) -> None:
        """Guards against comparing only neighbouring attempts."""
        findings = _audit(
            [_task(1, 1.0, 20.0, "lapsed"), _task(2, 2.0, 3.0, "failed")],
            [_task(3, 4.0, 5.0, "done")],
        )
        self.assertEqual(1, len(findings.executed_twice))

    def test_job_done_twice(self) -> None:
        """Guards against a job that runs again after it was done."""
        findings = _audit(
            [_task(1, 1.0, 2.0, "done"), _task(2, 3.0, 4.0, "done")]
        )
        self.assertEqual(1, len(findings.executed_twice))

    def test_standing_service_runs_again(self) -> None:
        """Guards against false findings about services that never end."""
        first = _task(1, 1.0, 2.0, "done", "printing")
        second = _task(2, 3.0, 4.0, "done", "printing")
        self.assertEqual((), _audit([first], [second]).all)
        findings = _audit([first], [_task(1, 3.0, 4.0, "done", "printing")])
        self.assertEqual(1, len(findings.executed_twice))

    def test_peak_above_its_limit(self) -> None:
        """Guards against overcommitted workers."""
        peaks = {"slots": (9.0, 8.0), "cpu": (32.0, 32.0)}
        findings = _audit([], peaks=peaks)
        self.assertEqual(1, len(findings.overcommitted))

    def test_answered_without_a_done_execution(self) -> None:
        """Guards against answers to requests that did not run."""
        for executions in ([], [_request("r1", how="failed")]):
            findings = _audit(executions, calls=(_call(Outcome.ANSWERED),))
            self.assertEqual(1, len(findings.disagreements))

    def test_answer_to_a_duplicate_counts_by_its_key(self) -> None:
        """Guards against false findings about a stored answer sent again."""
        calls = (_call(Outcome.ANSWERED), _call(Outcome.ANSWERED, "r2"))
        self.assertEqual((), _audit([_request("r1")], calls=calls).all)

    def test_answer_to_another_request(self) -> None:
        """Guards against answers that reach the wrong caller."""
        call = replace(_call(Outcome.ANSWERED), matches_request=False)
        findings = _audit([_request("r1")], calls=(call,))
        self.assertEqual(1, len(findings.disagreements))

    def test_not_run_but_executed(self) -> None:
        """Guards against the outcome not-run for a request that ran."""
        calls = (_call(Outcome.NOT_RUN), _call(Outcome.NOT_RUN, None))
        for call in calls:
            findings = _audit([_request("r1")], calls=(call,))
            self.assertEqual(1, len(findings.disagreements))

    def test_not_run_beside_a_duplicate_that_ran(self) -> None:
        """Guards against mixing up two calls with one key.

        A duplicate may claim a released key, so that not-run is wrong only for
        the call whose own request id was executed.
        """
        other = _call(Outcome.ANSWERED, "r1")
        right_calls = (_call(Outcome.NOT_RUN, "r2"), other)
        self.assertEqual((), _audit([_request("r1")], calls=right_calls).all)
        wrong_calls = (_call(Outcome.NOT_RUN, "r1"), other)
        findings = _audit([_request("r1")], calls=wrong_calls)
        self.assertEqual(1, len(findings.disagreements))
