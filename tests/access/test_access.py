"""Tests of the tokens file and of grants."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.access.grant import Grant
from carawaystep.access.role import Role
from carawaystep.access.token_file import load_tokens

if TYPE_CHECKING:
    from result import Result

    from carawaystep.access.token_table import TokenTable

_TOKEN = "k3ep-th1s-secret"


class TokenFileTest(TestCase):
    """Tests of loading and finding tokens."""

    def _load(self, text: str) -> Result[TokenTable, str]:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "tokens.yaml"
        path.write_text(text, encoding="utf-8")
        return load_tokens(path)

    def test_only_complete_tokens_are_found(self) -> None:
        """Guards against access with a token that resembles a valid one."""
        table = self._load(
            f"[{{token: {_TOKEN}, team: desk, roles: [caller],"
            " services: [bookings]}]"
        ).unwrap()
        expected = Grant(
            "desk", frozenset((Role.CALLER,)), frozenset(("bookings",))
        )
        self.assertEqual(expected, table.find(_TOKEN))
        for wrong_token in (
            "",
            _TOKEN[:-1],
            _TOKEN + "x",
            _TOKEN.upper(),
            "é" * 16,
        ):
            self.assertIsNone(table.find(wrong_token))

    def test_invalid_files_are_rejected_without_quoting_them(self) -> None:
        """Guards against accepting invalid files and against logged tokens."""
        valid_entry = f"token: {_TOKEN}, team: desk, roles: [caller]"
        for text, expected in (
            ("", "must be a list"),
            ("[]", "no token"),
            ("{}", "must be a list"),
            (f"[{{{valid_entry}}}, {{{valid_entry}}}]", "item 2 repeats"),
            (f"[{{{valid_entry}, {_TOKEN}: 1}}]", "item 1: use the keys"),
            (f"[{{{valid_entry}, token: other{_TOKEN}}}]", "yaml:1:"),
            (f"[{{token: *{_TOKEN}, team: desk}}]", "yaml:1:"),
            (f'[{{token: "\\q{_TOKEN}"}}]', "yaml:1:"),
            (f"[{{{valid_entry.replace('k3ep-', '')}}}]", "item 1: token"),
            (
                f"[{{{valid_entry.replace('desk', 'Desk 1')}}}]",
                "item 1: team",
            ),
            (
                f"[{{{valid_entry.replace('caller', 'admin')}}}]",
                "item 1: roles",
            ),
            (
                f"[{{{valid_entry}, services: [{_TOKEN}_]}}]",
                "item 1: services",
            ),
            ("[{token: 1234567890123456, team: a, roles: [caller]}]", "token"),
            ("- " * 5000, "yaml"),
            ("\x00", "yaml"),
        ):
            message = self._load(text).unwrap_err()
            self.assertIn(expected, message)
            self.assertNotIn(_TOKEN[5:], message)

    def test_unreadable_file_is_reported(self) -> None:
        """Guards against an exception when the file cannot be read."""
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        missing = load_tokens(Path(directory.name) / "none.yaml")
        self.assertIn("No such file", missing.unwrap_err())
        self.assertIn(
            "directory", load_tokens(Path(directory.name)).unwrap_err()
        )


class GrantTest(TestCase):
    """Tests of the rights of a token."""

    def test_writing_documents_requires_the_team_and_the_role(self) -> None:
        """Guards against writing documents of another team."""
        operator = frozenset((Role.OPERATOR,))
        self.assertTrue(Grant("desk", operator).may_write_documents_of("desk"))
        self.assertFalse(
            Grant("desk", operator).may_write_documents_of("pensions")
        )
        self.assertTrue(
            Grant("*", operator).may_write_documents_of("pensions")
        )
        caller = Grant("desk", frozenset((Role.CALLER,)))
        self.assertFalse(caller.may_write_documents_of("desk"))
