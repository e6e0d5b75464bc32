"""Tests of the findings about service documents."""

from __future__ import annotations

from result import Ok
from testtools import TestCase

from carawaystep.configuration_check.configuration import CheckSubject
from carawaystep.configuration_check.configuration import Configuration
from carawaystep.configuration_check.configuration_checker import (
    ConfigurationChecker,
)
from carawaystep.configuration_check.document_paths import DocumentPaths
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.service_configuration import (
    configuration_of_services,
)
from carawaystep.configuration_check.standard_checks import document_checks
from carawaystep.document.document_loader import load_document

# Codes that manifests do not produce.
DOCUMENT_CODES = {
    FindingCode.DOCUMENT_ADDED,
    FindingCode.DOCUMENT_CHANGED,
    FindingCode.KIND_CHANGED,
    FindingCode.JOB_ATTEMPTS_REDUCED,
    FindingCode.REPLICAS_REDUCED,
    FindingCode.REPEATS_ALLOWED,
}
_TEXT = (
    "service: a\nteam: desk\nkind: batch\nurgency: 1\n"
    "needs: {cpu: 1, memory_mb: 64}\n"
)
_JOBS = _TEXT + "batch: {max_attempts: 3}\n"
_REPLICAS = _TEXT.replace("batch", "standing") + "standing: {replicas: 2}\n"
_REQUESTS = _TEXT.replace("batch", "latency-critical")

# The document in force, the new one, and the findings about it.
_CHANGES = (
    (
        _JOBS,
        _JOBS.replace("3", "2"),
        "job-attempts-reduced batch.max_attempts",
    ),
    (_JOBS, _JOBS.replace("3", "4"), "document-changed batch.max_attempts"),
    (_REPLICAS, _REPLICAS.replace("2", "1"), "replicas-reduced standing"),
    (
        _REPLICAS,
        _REPLICAS.replace("2", "3"),
        "document-changed standing",
    ),
    (
        _REQUESTS,
        _REQUESTS + "requests: {idempotent: true}\n",
        "repeats-allowed requests.idempotent",
    ),
    (
        _REQUESTS + "requests: {idempotent: true}\n",
        _REQUESTS,
        "document-changed requests.idempotent",
    ),
    (_JOBS, _JOBS.replace("desk", "bank"), "document-changed team"),
    (
        _JOBS,
        _JOBS.replace("{max", "{due_s: 90, max"),
        "document-changed batch",
    ),
    (
        _REQUESTS,
        _REQUESTS + "requests: {queue_limit: 1}\n",
        "document-changed requests.queue_limit",
    ),
    (_REQUESTS, _REPLICAS, "kind-changed kind"),
    (_JOBS, _JOBS.replace(": 64", ": 65"), "document-changed needs.memory_mb"),
    (
        _JOBS,
        _JOBS.replace("service: a", "service: b"),
        "document-added a.yaml",
    ),
    (_JOBS, _JOBS, ""),
)


def _read(text: str) -> Configuration:
    loaded = load_document(text, "a.yaml", 0)
    assert isinstance(loaded, Ok)
    return configuration_of_services([loaded.ok_value])


class ServiceDocumentsTest(TestCase):
    """Differences from the documents in force."""

    def test_changes(self) -> None:
        """Guards against missed changes and against false findings."""
        paths = DocumentPaths(("a.yaml",))
        checker = ConfigurationChecker(document_checks())
        for before, after, expected in _CHANGES:
            subject = CheckSubject(_read(after), paths, in_force=_read(before))
            findings = [
                f"{finding.code} {finding.path.removeprefix('a.yaml: ')}"
                for finding in checker.check(subject)
            ]
            self.assertEqual(1 if expected else 0, len(findings), after)
            self.assertTrue("".join(findings).startswith(expected), findings)

    def test_each_code_has_a_case(self) -> None:
        """Guards against a kind of finding that no test produces.

        The test of the manifests' codes leaves these out.
        """
        found = {expected.partition(" ")[0] for _, _, expected in _CHANGES}
        self.assertEqual([], sorted(DOCUMENT_CODES - found))
