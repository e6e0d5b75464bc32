"""Tests of tokens and their rights."""

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
    """Loading and looking up tokens."""

    def _load(self, text: str) -> Result[TokenTable, str]:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "tokens.yaml"
        path.write_text(text, encoding="utf-8")
        return load_tokens(path)

    def test_only_whole_tokens_are_found(self) -> None:
        """Guards against access with a part of a token."""
        table = self._load(
            f"[{{token: {_TOKEN}, team: desk, roles: [caller],"
            " services: [bookings]}]"
        ).unwrap()
        expected = Grant(
            "desk", frozenset((Role.CALLER,)), frozenset(("bookings",))
        )
        self.assertEqual(expected, table.find(_TOKEN))
        for guess in ("", _TOKEN[:-1], _TOKEN + "x", _TOKEN.upper(), "é" * 16):
            self.assertIsNone(table.find(guess))

    def test_mistakes_are_refused_without_quoting_the_file(self) -> None:
        """Guards against weak files, and against tokens in the log."""
        good = f"token: {_TOKEN}, team: desk, roles: [caller]"
        for text, expected in (
            ("", "must be a list"),
            ("[]", "no token"),
            ("{}", "must be a list"),
            (f"[{{{good}}}, {{{good}}}]", "entry 2 repeats"),
            (f"[{{{good}, {_TOKEN}: 1}}]", "entry 1: use the keys"),
            (f"[{{{good}, token: other{_TOKEN}}}]", "yaml:1:"),
            (f"[{{token: *{_TOKEN}, team: desk}}]", "yaml:1:"),
            (f'[{{token: "\\q{_TOKEN}"}}]', "yaml:1:"),
            (f"[{{{good.replace('k3ep-', '')}}}]", "entry 1: token"),
            (f"[{{{good.replace('desk', 'Desk 1')}}}]", "entry 1: team"),
            (f"[{{{good.replace('caller', 'admin')}}}]", "entry 1: roles"),
            (f"[{{{good}, services: [{_TOKEN}_]}}]", "entry 1: services"),
            ("[{token: 1234567890123456, team: a, roles: [caller]}]", "token"),
            ("- " * 5000, "yaml"),
            ("\x00", "yaml"),
        ):
            problem = self._load(text).unwrap_err()
            self.assertIn(expected, problem)
            self.assertNotIn(_TOKEN[5:], problem)

    def test_unreadable_file_is_a_value(self) -> None:
        """Guards against a stack trace for a wrong path."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        missing = load_tokens(Path(folder.name) / "none.yaml")
        self.assertIn("No such file", missing.unwrap_err())
        self.assertIn("directory", load_tokens(Path(folder.name)).unwrap_err())


class GrantTest(TestCase):
    """Rules of rights."""

    def test_documents_need_the_team_and_the_role(self) -> None:
        """Guards against writing another team's documents."""
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
