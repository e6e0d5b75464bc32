"""Tests of the model checking command without spin."""

from __future__ import annotations

from contextlib import redirect_stderr
from io import StringIO
from unittest.mock import patch

from testtools import TestCase

from tools import check_model


class CheckModelTest(TestCase):
    """The command on a machine without spin."""

    def test_missing_program_is_named(self) -> None:
        """Guards against a traceback instead of the programs to install."""
        output = StringIO()
        with (
            patch.object(check_model.shutil, "which", return_value=None),
            redirect_stderr(output),
        ):
            self.assertEqual(69, check_model.main())
        self.assertIn("spin", output.getvalue())
