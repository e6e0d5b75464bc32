"""Tests of the model checking command without its programs."""

from __future__ import annotations

from contextlib import redirect_stderr
from io import StringIO
from unittest.mock import patch

from testtools import TestCase

from tools import check_model


class CheckModelTest(TestCase):
    """A machine without spin."""

    def test_missing_program_is_named(self) -> None:
        """Guards against a traceback in place of what to install."""
        told = StringIO()
        with (
            patch.object(check_model.shutil, "which", return_value=None),
            redirect_stderr(told),
        ):
            self.assertEqual(69, check_model.main())
        self.assertIn("spin", told.getvalue())
