"""Applying of several documents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from carawaystep.console.apply_result import ApplyOutcome
from carawaystep.console.apply_result import ApplyResult
from carawaystep.console.operator_failure import FailureKind

if TYPE_CHECKING:
    from carawaystep.console.local_document import LocalDocument
    from carawaystep.console.operator_client import OperatorClient
    from carawaystep.console.operator_failure import OperatorFailure
    from carawaystep.console.remote_document import RemoteDocument

_POLL_S = 0.5


class DocumentApplier:
    """Writes documents that are based on known versions.

    The expected version never comes from the entry: a copy that is based on
    an older version must meet a conflict.
    """

    def __init__(
        self,
        client: OperatorClient,
        documents: tuple[LocalDocument, ...],
        expected: dict[str, int],
    ) -> None:
        """Create an applier.

        :param client: client of an entry
        :param documents: valid documents
        :param expected: version that each service's text is based on
        """
        self._client = client
        self._documents = documents
        self._expected = expected

    async def apply(self) -> list[ApplyResult]:
        """Write all documents, or none when a failure is seen before.

        The first failure of a write ends it; what was written stays.
        """
        results = await self._compare_all()
        if any(result and _has_failed(result) for result in results):
            return [
                result or ApplyResult(document, ApplyOutcome.NOT_APPLIED)
                for document, result in zip(
                    self._documents, results, strict=True
                )
            ]
        failed = False
        written: list[ApplyResult] = []
        for document, result in zip(self._documents, results, strict=True):
            if result is None and failed:
                result = ApplyResult(document, ApplyOutcome.NOT_APPLIED)
            elif result is None:
                result = await self._write(document)
                failed = _has_failed(result)
            written.append(result)
        return written

    async def wait(
        self, results: list[ApplyResult], limit_s: float
    ) -> dict[str, list[str]]:
        """Wait until results are in force in every entry.

        :returns: names of lagging entries by service, empty when in force
        """
        lagging: dict[str, list[str]] = {}
        clock = asyncio.get_running_loop().time
        end = clock() + limit_s
        for result in results:
            names = await self._lagging(result)
            while names and clock() < end:
                await asyncio.sleep(min(_POLL_S, max(0.0, end - clock())))
                names = await self._lagging(result)
            if names:
                lagging[result.document.service] = names
        return lagging

    async def _compare_all(self) -> list[ApplyResult | None]:
        # All conflicts are collected, but a silent entry is asked only once.
        results: list[ApplyResult | None] = []
        for document in self._documents:
            result = await self._compare(document)
            results.append(result)
            if result and result.outcome is ApplyOutcome.NOT_APPLIED:
                break
        return results + [None] * (len(self._documents) - len(results))

    async def _compare(self, document: LocalDocument) -> ApplyResult | None:
        answer = await self._client.document(document.service)
        if isinstance(answer, Err):
            return ApplyResult(
                document,
                ApplyOutcome.NOT_APPLIED,
                detail=answer.err_value.detail,
            )
        present = answer.ok_value
        expected = self._expected[document.service]
        # An entry that lags may still show the text that a rollback restores.
        if present.version < expected:
            return None
        if present.version > 0 and present.text == document.text:
            return ApplyResult(
                document, ApplyOutcome.UNCHANGED, present.version
            )
        if present.version > expected:
            return _conflict(document, expected, present.version)
        return None

    async def _write(self, document: LocalDocument) -> ApplyResult:
        expected = self._expected[document.service]
        answer = await self._client.put(
            document.service, document.text, expected
        )
        if isinstance(answer, Err):
            return await self._failed_write(document, answer.err_value)
        commit = answer.ok_value
        return ApplyResult(
            document, ApplyOutcome.APPLIED, commit.version, commit.revision
        )

    async def _failed_write(
        self, document: LocalDocument, failure: OperatorFailure
    ) -> ApplyResult:
        expected = self._expected[document.service]
        if failure.kind is FailureKind.CONFLICT:
            return _conflict(document, expected, failure.version)
        if failure.kind is not FailureKind.UNREACHABLE:
            return ApplyResult(
                document, ApplyOutcome.NOT_APPLIED, detail=failure.detail
            )
        # The answer may be lost after the write took effect.
        answer = await self._client.document(document.service)
        if not isinstance(answer, Err) and _is_written(
            document, answer.ok_value, expected
        ):
            return ApplyResult(
                document, ApplyOutcome.APPLIED, answer.ok_value.version
            )
        return ApplyResult(
            document,
            ApplyOutcome.UNKNOWN,
            detail=f"{failure.detail}; it may have been applied, run the "
            "same command again",
        )

    async def _lagging(self, result: ApplyResult) -> list[str]:
        answer = await self._client.status(result.document.service)
        if isinstance(answer, Err):
            return [f"the asked entry ({answer.err_value.detail})"]
        status = answer.ok_value
        needed = max(status.revision, result.revision)
        names = sorted(
            name
            for name, revision in status.entries.items()
            if revision < needed
        )
        if names or (status.in_force and status.version >= result.version):
            return names
        return ["the asked entry"]


def _has_failed(result: ApplyResult) -> bool:
    return result.outcome not in {
        ApplyOutcome.APPLIED,
        ApplyOutcome.UNCHANGED,
    }


def _is_written(
    document: LocalDocument, present: RemoteDocument, expected: int
) -> bool:
    return present.version > expected and present.text == document.text


def _conflict(
    document: LocalDocument, expected: int, version: int
) -> ApplyResult:
    if version == 0:
        detail = (
            f"the file is based on version {expected}, but no document is "
            "present; apply it with --expected 0 to create it again"
        )
    else:
        detail = (
            f"the file is based on version {expected}, but version {version} "
            f"is present; run `carawaystep document show {document.service} "
            "--save FILE` with a new file, add your change to it and apply it"
        )
    return ApplyResult(document, ApplyOutcome.CONFLICT, version, 0, detail)
