"""Tests of the directory of a run."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from tools.run_directory import copy_documents


class RunDirectoryTest(TestCase):
    """Documents are copied without records of other runs."""

    def test_records_of_versions_are_left_behind(self) -> None:
        """Guards against conflicts with the versions of an earlier run."""
        with TemporaryDirectory() as name:
            example = Path(name) / "example"
            documents = example / "documents"
            documents.mkdir(parents=True)
            (documents / "a.yaml").write_text("service: a\n")
            (documents / ".versions.json").write_text("{}")
            earlier = Path(name) / "documents"
            earlier.mkdir()
            (earlier / ".versions.json").write_text("{}")
            copies = copy_documents(example, Path(name))
            found = [path.name for path in copies.iterdir()]
        self.assertEqual(["a.yaml"], found)
