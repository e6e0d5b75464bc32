"""Tests of the document commands against a fake entry."""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
import tempfile
import threading

from testtools import TestCase

from carawaystep.console.application import run
from carawaystep.console.version_file import VERSION_FILE_NAME
from tests.console.fake_operator_interface import FakeOperatorInterface
from tests.console.fake_operator_interface import TOKEN


def _text(service: str, urgency: int = 1) -> str:
    return (
        f"service: {service}\nteam: desk\nkind: batch\n"
        f"urgency: {urgency}\nneeds: {{cpu: 1, memory_mb: 64}}\n"
    )


class DocumentCommandsTest(TestCase):
    """Tests of applying, comparing, showing and checking documents."""

    def setUp(self) -> None:
        """Start a fake entry and create a directory of documents."""
        super().setUp()
        self._fake = FakeOperatorInterface()
        self.addCleanup(self._fake.close)
        self._directory = self._new_directory()
        self._token = self._new_directory() / "token"
        self._token.write_text(f"{TOKEN}\n")

    def test_apply_checks_all_files_first(self) -> None:
        """Guards against partial writes when one of the files is invalid."""
        self._write("a")
        (self._directory / "b.yaml").write_text(_text("b", 101) + "x: 1\n")
        code, _, errors = self._apply()
        self.assertEqual((65, 0), (code, self._fake.write_count))
        self.assertIn("b.yaml:4:10:", errors)
        self.assertIn("b.yaml:6:1:", errors)

    def test_apply_writes_changes_only(self) -> None:
        """Guards against new versions of documents that did not change."""
        self._write("a")
        self._write("b")
        self.assertEqual(0, self._apply()[0])
        self._write("b", 2)
        code, output, _ = self._apply("--json")
        rows = json.loads(output)["documents"]
        self.assertEqual(
            [("unchanged", 1), ("applied", 2)],
            [(row["outcome"], row["version"]) for row in rows],
        )
        self.assertEqual((0, 3), (code, self._fake.write_count))
        versions = json.loads(
            (self._directory / VERSION_FILE_NAME).read_text()
        )
        self.assertEqual({"a": 1, "b": 2}, versions)

    def test_outdated_file_causes_a_conflict(self) -> None:
        """Guards against a file that overwrites a newer document."""
        self._write("a")
        self._write("b")
        self._fake.write("b", _text("b", 7), 0)
        code, _, errors = self._apply()
        self.assertEqual((3, 1), (code, self._fake.write_count))
        self.assertIn("b: conflict", errors)
        self.assertIn("version 0, but version 1 is present", errors)
        self.assertIn("document show b --save", errors)
        self.assertIn("a: not-applied", errors)
        file = str(self._directory / "b.yaml")
        self.assertEqual(0, self._call("show", "b", "--save", file)[0])
        self.assertEqual(_text("b", 7), Path(file).read_text())
        self._write("b", 8)
        self.assertEqual(0, self._apply()[0])
        self.assertEqual((2, _text("b", 8)), self._fake.documents["b"])

    def test_conflict_between_read_and_write(self) -> None:
        """Guards against output that hides what was applied before a conflict.

        Another operator writes "b" after all documents were checked.
        """
        for service in "abc":
            self._write(service)

        def write_concurrently() -> None:
            if "a" in self._fake.documents:
                self._fake.write("b", _text("b", 9), 0)

        self._fake.before_put = write_concurrently
        code, output, errors = self._apply()
        self.assertEqual(3, code)
        self.assertIn("a: applied, version 1", output)
        self.assertIn("b: conflict", errors)
        self.assertIn("c: not-applied", errors)
        self.assertNotIn("c", self._fake.documents)

    def test_two_operators_race(self) -> None:
        """Guards against two concurrent writes that both report success."""
        barrier = threading.Barrier(2, timeout=20)
        directories = [self._new_directory(), self._new_directory()]
        for number in range(5):
            name = f"s{number}"
            codes: list[int] = []
            threads = []
            for urgency, directory in enumerate(directories):
                path = directory / f"{name}.yaml"
                path.write_text(_text(name, urgency))
                threads.append(
                    threading.Thread(
                        target=self._apply_concurrently,
                        args=(path, barrier, codes),
                    )
                )
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(30)
            self.assertEqual([0, 3], sorted(codes))
            self.assertEqual(1, self._fake.documents[name][0])

    def test_document_is_read_after_a_lost_answer(self) -> None:
        """Guards against a failure reported for a write that took effect.

        Without another read, the next run of the command would cause a
        conflict with the write of this one.
        """
        self._write("a")
        self._fake.fail_after_write = True
        code, output, _ = self._apply()
        self.assertEqual((0, 1), (code, self._fake.write_count))
        self.assertIn("a: applied, version 1", output)

    def test_rollback_through_a_lagging_entry(self) -> None:
        """Guards against a rollback that is reported as unchanged.

        The entry still returns the version whose text is restored.
        """
        self._write("a", 1)
        self._apply()
        old_documents = dict(self._fake.documents)
        self._write("a", 2)
        self._apply()
        self._fake.stale_documents = old_documents
        self._write("a", 1)
        self.assertEqual(0, self._apply()[0])
        self.assertEqual((3, _text("a", 1)), self._fake.documents["a"])

    def test_wait_names_lagging_entries(self) -> None:
        """Guards against success while an entry still has an old version."""
        self._write("a")
        self._fake.applied_revisions = {"e1": 1, "e2": 0}
        code, _, errors = self._apply("--wait", "0.2")
        self.assertEqual(4, code)
        self.assertIn("not in force within 0.2 s at e2", errors)
        self._fake.applied_revisions = None
        self.assertEqual(0, self._apply("--wait", "5")[0])

    def test_diff(self) -> None:
        """Guards against an exit code that does not report a difference."""
        self._write("a", 1)
        directory = str(self._directory)
        self.assertEqual(1, self._call("diff", directory)[0])
        self._apply()
        self.assertEqual((0, "", ""), self._call("diff", directory))
        self._write("a", 2)
        code, output, _ = self._call("diff", directory)
        self.assertEqual(1, code)
        self.assertIn("-urgency: 1\n+urgency: 2\n", output)

    def test_usage_and_call_failures_have_distinct_exit_codes(self) -> None:
        """Guards against one exit code for invalid use and for failed calls.

        Scripts distinguish invalid use from an entry that cannot be reached
        or refuses the call.
        """
        self._write("a")
        self._write("b")
        self.assertEqual(2, self._apply("--expected", "0")[0])
        self.assertEqual(2, self._apply("--wait", "nan")[0])
        (self._directory / VERSION_FILE_NAME).write_text("[]")
        self.assertEqual(2, self._apply()[0])
        (self._directory / VERSION_FILE_NAME).unlink()
        self.assertEqual(5, self._call("show", "absent")[0])
        self._token.write_text("wrong")
        self._fake.read_count = 0
        code, _, errors = self._apply()
        self.assertEqual((5, 1), (code, self._fake.read_count))
        self.assertIn("answered 401", errors)
        self._token.write_text("two words")
        self.assertEqual(2, self._apply()[0])
        self._token.write_text(TOKEN)
        self._fake.close()
        code, _, errors = self._apply()
        self.assertEqual((5, 0), (code, self._fake.write_count))
        self.assertIn("the call to the entry at", errors)

    def test_checks_as_json(self) -> None:
        """Guards against changes of the JSON output that scripts parse."""
        path = self._directory / "a.yaml"
        path.write_text(_text("a", 101))
        for arguments, code, line in (
            (["document", "check", str(self._directory)], 65, 4),
            (["settings", "check", str(path), "--kind", "entry"], 78, 1),
        ):
            actual_code, output, _ = self._run([*arguments, "--json"])
            answer = json.loads(output)
            self.assertEqual((code, False), (actual_code, answer["ok"]))
            self.assertEqual(line, answer["problems"][0]["line"])
            self.assertEqual(str(path), answer["problems"][0]["source"])
        self._write("b")
        (self._directory / "a.yaml").write_text(_text("b"))
        code, _, errors = self._run(
            ["document", "check", str(self._directory)]
        )
        self.assertEqual(65, code)
        self.assertIn('service "b" is also in', errors)

    def test_check_against_a_fleet(self) -> None:
        """Guards against documents whose jobs can never start or be on time.

        The same documents pass with larger workers and a later due time.
        """
        path = self._directory / "a.yaml"
        fleet = self._new_directory() / "fleet.yaml"
        check = ["document", "check", str(path), "--fleet", str(fleet)]
        late = "batch: {run_s: 20, due_s: 19}\n"
        for batch, cpu, found in (
            (late, 1, [("unmeetable-deadline", "batch.run_s")]),
            ("", 0.5, [("size-without-workers", "needs.cpu")]),
            ("", 1, []),
        ):
            path.write_text(_text("a") + batch)
            fleet.write_text(f"workers: [{{cpu: {cpu}, memory_mb: 64}}]\n")
            code, output, _ = self._run([*check, "--json"])
            answer = json.loads(output)
            self.assertEqual((0, True), (code, answer["ok"]))
            self.assertEqual(
                [(kind, f"{path}: {key}") for kind, key in found],
                [(row["code"], row["path"]) for row in answer["findings"]],
            )
            code, _, errors = self._run([*check, "--strict"])
            self.assertEqual(65 if found else 0, code)
            self.assertEqual(len(found), errors.count("warning "))
        fleet.write_text("workers: 1\n")
        self.assertEqual(2, self._run(check)[0])

    def test_check_against_documents_in_force(self) -> None:
        """Guards against a check that ignores the documents in force."""
        in_force = self._new_directory()
        (in_force / "a.yaml").write_text(_text("a"))
        self._write("a", 2)
        check = ["document", "check", str(self._directory), "--in-force"]
        code, _, errors = self._run([*check, str(in_force)])
        self.assertEqual(0, code)
        self.assertIn("notice document-changed", errors)
        self.assertIn("urgency: 1 -> 2", errors)
        self.assertEqual(2, self._run([*check, str(in_force / "b.yaml")])[0])

    def _apply_concurrently(
        self, path: Path, barrier: threading.Barrier, codes: list[int]
    ) -> None:
        # Redirecting stdout is not thread-safe, so the output is not
        # captured.
        barrier.wait()
        codes.append(run(self._arguments("apply", str(path))))

    def _apply(self, *options: str) -> tuple[int, str, str]:
        return self._call("apply", str(self._directory), *options)

    def _call(self, *arguments: str) -> tuple[int, str, str]:
        return self._run(self._arguments(*arguments))

    def _arguments(self, *arguments: str) -> list[str]:
        entry = ["--url", self._fake.url, "--token-file", str(self._token)]
        return ["document", *arguments, *entry]

    def _run(self, arguments: list[str]) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            code = run(arguments)
        return code, output.getvalue(), errors.getvalue()

    def _write(self, service: str, urgency: int = 1) -> None:
        path = self._directory / f"{service}.yaml"
        path.write_text(_text(service, urgency))

    def _new_directory(self) -> Path:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return Path(directory.name)
