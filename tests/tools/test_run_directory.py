"""Tests of the run directory."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from tools.run_directory import copy_documents


class RunDirectoryTest(TestCase):
    """Documents are copied without the versions files of other runs."""

    def test_versions_files_are_not_copied(self) -> None:
        """Guards against version conflicts in a run on an empty platform.

        ``document apply`` keeps the versions of a run in a file beside the
        documents; neither that of the example nor an earlier one may stay.
        """
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
