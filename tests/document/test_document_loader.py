"""Tests of service documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.document.document_loader import load_document
from carawaystep.document.document_loader import MAX_DOCUMENT_BYTES
from carawaystep.document.service_kind import ServiceKind

if TYPE_CHECKING:
    from carawaystep.validation.problem import Problem

_HEADER = "service: routes\nteam: planning\nkind: {}\nurgency: 40\n"
_NEEDS = "needs: {cpu: 0.5, memory_mb: 256}\n"
_BATCH = _HEADER.format("batch") + _NEEDS

# YAML text, and line, column and part of the detail of each problem.
_INVALID_DOCUMENTS: list[tuple[str, list[tuple[int, int, str]]]] = [
    (_BATCH + "urgancy: 1\n", [(6, 1, 'did you mean "urgency"?')]),
    (_BATCH + "zzz: 1\n", [(6, 1, "allowed keys: service, team, kind")]),
    (_BATCH.replace("40", "101"), [(4, 10, "at least 0 and at most 100")]),
    (_BATCH.replace("40", "1.5"), [(4, 10, "a whole number")]),
    (_BATCH.replace("40", "'40'"), [(4, 10, 'not the text "40"')]),
    (_BATCH.replace("40", "true"), [(4, 10, "not true")]),
    (_BATCH.replace("40", ""), [(4, 1, "not empty")]),
    (_BATCH.replace("batch", "cron"), [(3, 7, "latency-critical, batch")]),
    (_BATCH.replace("routes", "Ro_utes"), [(1, 10, "[a-z0-9-]{1,63}")]),
    (_BATCH.replace("routes", "a" * 64), [(1, 10, "1 to 63 characters")]),
    (_BATCH.replace("planning", "2001-01-01x!"), [(2, 7, "text that")]),
    (_BATCH.replace("0.5", ".nan"), [(5, 14, "not a finite number")]),
    (_BATCH.replace("0.5", "1e999"), [(5, 14, "not a finite number")]),
    (_BATCH.replace("256", "0"), [(5, 30, "number of megabytes, at least")]),
    (_HEADER.format("batch"), [(1, 1, 'key "needs" is missing')]),
    (_HEADER.format("batch") + "needs: {cpu: 1}\n", [(5, 1, '"memory_mb"')]),
    (_HEADER.format("batch") + "needs: 3\n", [(5, 8, "a mapping with keys")]),
    (_BATCH + "requests: {queue_limit: 1}\n", [(6, 1, 'not "batch"')]),
    (_BATCH + "standing:\n  replicas: 2\n", [(6, 1, 'not "batch"')]),
    (_BATCH + "batch:\n", [(6, 1, "a mapping with keys")]),
    (_BATCH + "batch: {due_s: 0}\n", [(6, 16, "of seconds, more than 0")]),
    (_BATCH + "batch: {evictable: 'no'}\n", [(6, 20, "true or false")]),
    (
        _HEADER.format("standing") + _NEEDS + "batch: {run_s: 0}\n",
        [(6, 1, 'kind "batch", not "standing"')],
    ),
    (
        _BATCH.replace("40", "-1") + "batch: {run: 1, max_attempts: 0}\n",
        [(4, 10, "not -1"), (6, 9, '"run_s"'), (6, 31, "at least 1")],
    ),
]


def _load_problems(text: str) -> tuple[Problem, ...]:
    return load_document(text, "d.yaml", 0).unwrap_err()


class DocumentLoaderTest(TestCase):
    """Validation, defaults and size limit of documents."""

    def test_each_problem_has_position_and_advice(self) -> None:
        """Guards against problems at a wrong position or without advice."""
        for text, expected_problems in _INVALID_DOCUMENTS:
            problems = _load_problems(text)
            positions = [
                (problem.line, problem.column) for problem in problems
            ]
            self.assertEqual(
                [expected[:2] for expected in expected_problems],
                positions,
                text,
            )
            for problem, expected in zip(
                problems, expected_problems, strict=True
            ):
                self.assertIn(expected[2], problem.detail)

    def test_defaults_of_each_kind(self) -> None:
        """Guards against an unintended change of a default."""
        batch = load_document(_BATCH, "d.yaml", 7).unwrap()
        self.assertEqual(7, batch.version)
        self.assertEqual(
            (60.0, 86_400.0, 5, True, 0),
            (
                batch.run_s,
                batch.due_s,
                batch.max_attempts,
                batch.evictable,
                batch.replicas,
            ),
        )
        text = _HEADER.format("standing") + _NEEDS
        standing = load_document(text, "d.yaml", 1).unwrap()
        self.assertEqual((1, None), (standing.replicas, standing.run_s))
        text = _HEADER.format("latency-critical") + _NEEDS
        critical = load_document(text, "d.yaml", 1).unwrap()
        self.assertEqual(ServiceKind.LATENCY_CRITICAL, critical.kind)
        self.assertFalse(critical.idempotent)

    def test_large_document_is_refused(self) -> None:
        """Guards against a text that blocks an entry while it is parsed."""
        text = _BATCH + "#" * MAX_DOCUMENT_BYTES
        self.assertIn("larger than", _load_problems(text)[0].detail)
