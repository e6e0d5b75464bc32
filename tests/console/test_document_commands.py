"""Tests of the commands on documents against a fake entry."""

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
    """Applying, comparing and showing of documents."""

    def setUp(self) -> None:
        """Start a fake entry and make a folder of documents."""
        super().setUp()
        self._fake = FakeOperatorInterface()
        self.addCleanup(self._fake.close)
        self._folder = self._new_folder()
        self._token = self._new_folder() / "token"
        self._token.write_text(f"{TOKEN}\n")

    def test_apply_checks_all_files_first(self) -> None:
        """Guards against documents applied by halves beside a bad file."""
        self._write("a")
        (self._folder / "b.yaml").write_text(_text("b", 101) + "x: 1\n")
        code, _, errors = self._apply()
        self.assertEqual((65, 0), (code, self._fake.writes))
        self.assertIn("b.yaml:4:10:", errors)
        self.assertIn("b.yaml:6:1:", errors)

    def test_apply_writes_changes_only(self) -> None:
        """Guards against new versions of texts that did not change."""
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
        self.assertEqual((0, 3), (code, self._fake.writes))
        versions = json.loads((self._folder / VERSION_FILE_NAME).read_text())
        self.assertEqual({"a": 1, "b": 2}, versions)

    def test_old_copy_meets_a_conflict(self) -> None:
        """Guards against an old copy that overwrites a newer document."""
        self._write("a")
        self._write("b")
        self._fake.write("b", _text("b", 7), 0)
        code, _, errors = self._apply()
        self.assertEqual((3, 1), (code, self._fake.writes))
        self.assertIn("b: conflict", errors)
        self.assertIn("version 0, but version 1 is present", errors)
        self.assertIn("document show b --save", errors)
        self.assertIn("a: not-applied", errors)
        file = str(self._folder / "b.yaml")
        self.assertEqual(0, self._call("show", "b", "--save", file)[0])
        self.assertEqual(_text("b", 7), Path(file).read_text())
        self._write("b", 8)
        self.assertEqual(0, self._apply()[0])
        self.assertEqual((2, _text("b", 8)), self._fake.documents["b"])

    def test_conflict_between_read_and_write(self) -> None:
        """Guards against a report that hides what was applied before."""
        for service in "abc":
            self._write(service)

        def race() -> None:
            if "a" in self._fake.documents:
                self._fake.write("b", _text("b", 9), 0)

        self._fake.before_put = race
        code, output, errors = self._apply()
        self.assertEqual(3, code)
        self.assertIn("a: applied, version 1", output)
        self.assertIn("b: conflict", errors)
        self.assertIn("c: not-applied", errors)
        self.assertNotIn("c", self._fake.documents)

    def test_two_operators_race(self) -> None:
        """Guards against two operators who both believe that they won."""
        barrier = threading.Barrier(2, timeout=20)
        folders = [self._new_folder(), self._new_folder()]
        for number in range(5):
            name = f"s{number}"
            codes: list[int] = []
            threads = []
            for urgency, folder in enumerate(folders):
                path = folder / f"{name}.yaml"
                path.write_text(_text(name, urgency))
                threads.append(
                    threading.Thread(
                        target=self._race, args=(path, barrier, codes)
                    )
                )
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(30)
            self.assertEqual([0, 3], sorted(codes))
            self.assertEqual(1, self._fake.documents[name][0])

    def test_lost_answer_is_read_back(self) -> None:
        """Guards against a conflict of an operator with himself."""
        self._write("a")
        self._fake.lose_answer = True
        code, output, _ = self._apply()
        self.assertEqual((0, 1), (code, self._fake.writes))
        self.assertIn("a: applied, version 1", output)

    def test_rollback_through_a_lagging_entry(self) -> None:
        """Guards against a rollback taken for unchanged."""
        self._write("a", 1)
        self._apply()
        old = dict(self._fake.documents)
        self._write("a", 2)
        self._apply()
        self._fake.shown = old
        self._write("a", 1)
        self.assertEqual(0, self._apply()[0])
        self.assertEqual((3, _text("a", 1)), self._fake.documents["a"])

    def test_wait_names_lagging_entries(self) -> None:
        """Guards against a success while an entry has the old document."""
        self._write("a")
        self._fake.entries = {"e1": 1, "e2": 0}
        code, _, errors = self._apply("--wait", "0.2")
        self.assertEqual(4, code)
        self.assertIn("not in force within 0.2 s at e2", errors)
        self._fake.entries = None
        self.assertEqual(0, self._apply("--wait", "5")[0])

    def test_diff(self) -> None:
        """Guards against a difference that is not reported by the code."""
        self._write("a", 1)
        folder = str(self._folder)
        self.assertEqual(1, self._call("diff", folder)[0])
        self._apply()
        self.assertEqual((0, "", ""), self._call("diff", folder))
        self._write("a", 2)
        code, output, _ = self._call("diff", folder)
        self.assertEqual(1, code)
        self.assertIn("-urgency: 1\n+urgency: 2\n", output)

    def test_unreachable_refused_and_usage(self) -> None:
        """Guards against exit codes that scripts cannot tell apart."""
        self._write("a")
        self._write("b")
        self.assertEqual(2, self._apply("--expected", "0")[0])
        self.assertEqual(2, self._apply("--wait", "nan")[0])
        (self._folder / VERSION_FILE_NAME).write_text("[]")
        self.assertEqual(2, self._apply()[0])
        (self._folder / VERSION_FILE_NAME).unlink()
        self.assertEqual(5, self._call("show", "absent")[0])
        self._token.write_text("wrong")
        self._fake.reads = 0
        code, _, errors = self._apply()
        self.assertEqual((5, 1), (code, self._fake.reads))
        self.assertIn("answered 401", errors)
        self._token.write_text("two words")
        self.assertEqual(2, self._apply()[0])
        self._token.write_text(TOKEN)
        self._fake.close()
        code, _, errors = self._apply()
        self.assertEqual((5, 0), (code, self._fake.writes))
        self.assertIn("cannot be reached", errors)

    def test_checks_as_json(self) -> None:
        """Guards against a changed form of the output for programs."""
        path = self._folder / "a.yaml"
        path.write_text(_text("a", 101))
        for arguments, code, line in (
            (["document", "check", str(self._folder)], 65, 4),
            (["settings", "check", str(path), "--kind", "entry"], 78, 1),
        ):
            found, output, _ = self._run([*arguments, "--json"])
            answer = json.loads(output)
            self.assertEqual((code, False), (found, answer["ok"]))
            self.assertEqual(line, answer["problems"][0]["line"])
            self.assertEqual(str(path), answer["problems"][0]["source"])
        self._write("b")
        (self._folder / "a.yaml").write_text(_text("b"))
        code, _, errors = self._run(["document", "check", str(self._folder)])
        self.assertEqual(65, code)
        self.assertIn('service "b" is also in', errors)

    def _race(
        self, path: Path, barrier: threading.Barrier, codes: list[int]
    ) -> None:
        # Output is left alone: redirecting it is not safe in threads.
        barrier.wait()
        codes.append(run(self._arguments("apply", str(path))))

    def _apply(self, *options: str) -> tuple[int, str, str]:
        return self._call("apply", str(self._folder), *options)

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
        path = self._folder / f"{service}.yaml"
        path.write_text(_text(service, urgency))

    def _new_folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)
