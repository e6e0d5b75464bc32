"""Checks the ledgers of all workers for violated invariants."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from carawaystep.document.service_kind import ServiceKind
from carawaystep.request.outcome import Outcome
from carawaystep.worker.execution_end import ExecutionEnd
from tools.audit_findings import AuditFindings

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from tools.call_record import CallRecord
    from tools.example_service import ExampleService
    from tools.ledger import Execution
    from tools.ledger import Ledger

_NO_EXECUTIONS: tuple[Execution, ...] = ()


class LedgerAudit:
    """Compares executions at workers with outcomes told to callers."""

    def __init__(
        self,
        services: Iterable[ExampleService],
        ledgers: Sequence[Ledger],
        calls: Sequence[CallRecord],
    ) -> None:
        """Create an audit.

        :param services: services whose documents are in force
        :param ledgers: ledgers of all workers
        :param calls: every call that may have reached an entry
        """
        services = tuple(services)
        self._non_idempotent_services = {
            s.name for s in services if not s.idempotent
        }
        self._standing_services = {
            s.name for s in services if s.kind is ServiceKind.STANDING
        }
        self._ledgers = ledgers
        self._calls = calls
        self._by_dispatch_id: dict[str, list[Execution]] = defaultdict(list)
        self._by_request_id: dict[str, list[Execution]] = defaultdict(list)
        self._by_request_key: dict[tuple[str, str], list[Execution]]
        self._by_request_key = defaultdict(list)
        self._by_job: dict[str, list[Execution]] = defaultdict(list)
        for ledger in ledgers:
            for execution in ledger.executions:
                self._index(execution)

    def findings(self) -> AuditFindings:
        """Return all violations."""
        return AuditFindings(
            executed_twice=(
                *self._keys_run_twice(),
                *self._ids_run_twice(),
                *self._requests_run_twice(),
                *self._jobs_run_twice(),
            ),
            overcommitted=tuple(self._peaks_above_limits()),
            disagreements=tuple(self._untrue_outcomes()),
        )

    def _index(self, execution: Execution) -> None:
        if execution.kind == "task":
            self._by_job[execution.id].append(execution)
            return
        # A dispatch id is the request id followed by "/" and a number.
        self._by_dispatch_id[execution.id].append(execution)
        self._by_request_id[execution.id.partition("/")[0]].append(execution)
        if (
            execution.key
            and execution.service in self._non_idempotent_services
        ):
            name = (execution.service, execution.key)
            self._by_request_key[name].append(execution)

    def _keys_run_twice(self) -> Iterator[str]:
        for (service, key), executions in self._by_request_key.items():
            if len(executions) > 1:
                yield (
                    f"requests with key {key} of {service} ran"
                    f" {len(executions)} times"
                )

    def _ids_run_twice(self) -> Iterator[str]:
        for dispatch_id, executions in self._by_dispatch_id.items():
            if len(executions) > 1:
                yield (
                    f"dispatch {dispatch_id} of {executions[0].service} ran"
                    f" {len(executions)} times"
                )

    def _requests_run_twice(self) -> Iterator[str]:
        # An entry may dispatch an idempotent request more than once.
        for request_id, executions in self._by_request_id.items():
            service = executions[0].service
            if (
                service in self._non_idempotent_services
                and len(executions) > 1
            ):
                yield (
                    f"request {request_id} of {service} ran"
                    f" {len(executions)} times"
                )

    def _jobs_run_twice(self) -> Iterator[str]:
        for job, executions in self._by_job.items():
            violations = []
            attempts_by_start = sorted(
                executions, key=lambda execution: execution.start
            )
            latest_end = attempts_by_start[0].end_or_never
            for execution in attempts_by_start[1:]:
                if execution.start < latest_end:
                    violations.append("in overlapping attempts")
                    break
                latest_end = max(latest_end, execution.end_or_never)
            if self._done_twice(attempts_by_start):
                violations.append("again after it was done")
            if violations:
                yield f"job {job} ran {' and '.join(violations)}"

    def _done_twice(self, executions: list[Execution]) -> bool:
        """Tell whether a job ran again after an acknowledged end.

        :param executions: attempts of the job, ordered by start
        """
        done = [
            e for e in executions if e.how == ExecutionEnd.DONE and e.noted
        ]
        if not done:
            return False
        # A job of a standing service is queued again whenever it ends, so it
        # may be done many times, but each attempt only once.
        if done[0].service not in self._standing_services:
            return any(e.start >= done[0].end_or_never for e in executions)
        attempts = Counter(execution.attempt for execution in done)
        return max(attempts.values()) > 1

    def _peaks_above_limits(self) -> Iterator[str]:
        for ledger in self._ledgers:
            for name, (peak, limit) in ledger.peaks.items():
                if peak > limit:
                    yield (
                        f"worker {ledger.worker} used {peak:g} {name}, its"
                        f" limit is {limit:g}"
                    )

    def _untrue_outcomes(self) -> Iterator[str]:
        for call in self._calls:
            if call.outcome is Outcome.ANSWERED and not self._was_done(call):
                yield (
                    f"request {call.request_id} of {call.service} was told"
                    " answered, but no execution of it ended as done"
                )
            if call.outcome is Outcome.ANSWERED and not call.matches_request:
                yield (
                    f"request {call.request_id} of {call.service} was told"
                    " answered with the answer to another request"
                )
            if call.outcome is Outcome.NOT_RUN and self._was_run(call):
                yield (
                    f"request {call.request_id} of {call.service} was told"
                    " not-run, but it was executed"
                )

    def _was_done(self, call: CallRecord) -> bool:
        executions = [
            *self._executions_with_id(call),
            *self._executions_with_key(call),
        ]
        return any(e.how == ExecutionEnd.DONE for e in executions)

    def _was_run(self, call: CallRecord) -> bool:
        if self._executions_with_id(call):
            return True
        # A key that this call released may be claimed by another call. The
        # execution then belongs to that call, and not-run is right here.
        return bool(
            self._executions_with_key(call)
        ) and not self._belongs_to_another_call(call)

    def _belongs_to_another_call(self, call: CallRecord) -> bool:
        return any(
            other.key == call.key
            and other.service == call.service
            and other.outcome in (Outcome.ANSWERED, Outcome.UNKNOWN)
            for other in self._calls
        )

    def _executions_with_id(self, call: CallRecord) -> Sequence[Execution]:
        if call.request_id is None:
            return _NO_EXECUTIONS
        return self._by_request_id.get(call.request_id, _NO_EXECUTIONS)

    def _executions_with_key(self, call: CallRecord) -> Sequence[Execution]:
        if call.key is None:
            return _NO_EXECUTIONS
        name = (call.service, call.key)
        return self._by_request_key.get(name, _NO_EXECUTIONS)
