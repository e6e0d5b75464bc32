"""Conditional writes of several documents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from carawaystep.console.apply_result import ApplyOutcome
from carawaystep.console.apply_result import ApplyResult
from carawaystep.console.operator_client_failure import FailureKind

if TYPE_CHECKING:
    from carawaystep.console.local_document import LocalDocument
    from carawaystep.console.operator_client import OperatorClient
    from carawaystep.console.operator_client_failure import (
        OperatorClientFailure,
    )
    from carawaystep.console.remote_document import RemoteDocument

_POLL_INTERVAL_S = 0.5


class DocumentApplier:
    """Writes documents on condition that the expected versions are current.

    The expected versions are those that the local files are based on. They
    are never read from the entry, because then a file based on an older
    version would overwrite a newer document instead of causing a conflict.
    """

    def __init__(
        self,
        client: OperatorClient,
        documents: tuple[LocalDocument, ...],
        expected: dict[str, int],
    ) -> None:
        """Create an applier.

        :param client: client of an entry
        :param documents: valid documents to write
        :param expected: version that the file is based on, by service
        """
        self._client = client
        self._documents = documents
        self._expected_versions = expected

    async def apply(self) -> list[ApplyResult]:
        """Check all documents, then write them unless a check failed.

        Writing stops at the first failure; documents that were already
        written are not rolled back.

        :returns: one result for each document, in the order of the documents
        """
        results = await self._check_all()
        if any(result and _has_failed(result) for result in results):
            return [
                result or ApplyResult(document, ApplyOutcome.NOT_APPLIED)
                for document, result in zip(
                    self._documents, results, strict=True
                )
            ]
        failed = False
        final_results: list[ApplyResult] = []
        for document, result in zip(self._documents, results, strict=True):
            if result is None and failed:
                result = ApplyResult(document, ApplyOutcome.NOT_APPLIED)
            elif result is None:
                result = await self._write(document)
                failed = _has_failed(result)
            final_results.append(result)
        return final_results

    async def wait_until_in_force(
        self, results: list[ApplyResult], limit_s: float
    ) -> dict[str, list[str]]:
        """Wait until the applied versions are in force in every entry.

        :param results: results of documents that are applied or unchanged
        :param limit_s: time limit for all documents together, seconds
        :returns: names of the lagging entries by service, empty if there are
            none
        """
        lagging: dict[str, list[str]] = {}
        clock = asyncio.get_running_loop().time
        deadline = clock() + limit_s
        for result in results:
            names = await self._find_lagging_entries(result)
            while names and clock() < deadline:
                await asyncio.sleep(
                    min(_POLL_INTERVAL_S, max(0.0, deadline - clock()))
                )
                names = await self._find_lagging_entries(result)
            if names:
                lagging[result.document.service] = names
        return lagging

    async def _check_all(self) -> list[ApplyResult | None]:
        # Collects all conflicts but stops when a read fails, so that an
        # unreachable entry is queried only once.
        results: list[ApplyResult | None] = []
        for document in self._documents:
            result = await self._check(document)
            results.append(result)
            if result and result.outcome is ApplyOutcome.NOT_APPLIED:
                break
        return results + [None] * (len(self._documents) - len(results))

    async def _check(self, document: LocalDocument) -> ApplyResult | None:
        answer = await self._client.get_document(document.service)
        if isinstance(answer, Err):
            return ApplyResult(
                document,
                ApplyOutcome.NOT_APPLIED,
                detail=answer.err_value.detail,
            )
        current = answer.ok_value
        expected = self._expected_versions[document.service]
        # An entry that lags behind may return a version older than the
        # expected one. Even if its text is the one that a rollback restores,
        # the document still has to be written.
        if current.version < expected:
            return None
        if current.version > 0 and current.text == document.text:
            return ApplyResult(
                document, ApplyOutcome.UNCHANGED, current.version
            )
        if current.version > expected:
            return _conflict_result(document, expected, current.version)
        return None

    async def _write(self, document: LocalDocument) -> ApplyResult:
        expected = self._expected_versions[document.service]
        answer = await self._client.put_document(
            document.service, document.text, expected
        )
        if isinstance(answer, Err):
            return await self._handle_write_failure(document, answer.err_value)
        commit = answer.ok_value
        return ApplyResult(
            document, ApplyOutcome.APPLIED, commit.version, commit.revision
        )

    async def _handle_write_failure(
        self, document: LocalDocument, failure: OperatorClientFailure
    ) -> ApplyResult:
        expected = self._expected_versions[document.service]
        if failure.kind is FailureKind.CONFLICT:
            return _conflict_result(document, expected, failure.version)
        if failure.kind is not FailureKind.UNREACHABLE:
            return ApplyResult(
                document, ApplyOutcome.NOT_APPLIED, detail=failure.detail
            )
        # The answer may have been lost after the write took effect.
        answer = await self._client.get_document(document.service)
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

    async def _find_lagging_entries(self, result: ApplyResult) -> list[str]:
        answer = await self._client.get_status(result.document.service)
        if isinstance(answer, Err):
            return [f"the queried entry ({answer.err_value.detail})"]
        status = answer.ok_value
        required_revision = max(status.revision, result.revision)
        names = sorted(
            name
            for name, revision in status.entries.items()
            if revision < required_revision
        )
        if names or (status.in_force and status.version >= result.version):
            return names
        return ["the queried entry"]


def _has_failed(result: ApplyResult) -> bool:
    return result.outcome not in {
        ApplyOutcome.APPLIED,
        ApplyOutcome.UNCHANGED,
    }


def _is_written(
    document: LocalDocument, current: RemoteDocument, expected: int
) -> bool:
    return current.version > expected and current.text == document.text


def _conflict_result(
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
