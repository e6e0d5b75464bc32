"""Tests of loading YAML text and settings files into models."""

from __future__ import annotations

from pathlib import Path
import tempfile

from testtools import TestCase

from carawaystep.settings.entry_settings import EntrySettings
from carawaystep.settings.entry_settings import ListenSettings
from carawaystep.settings.standin_worker_settings import (
    StandinWorkerProcessSettings,
)
from carawaystep.validation.yaml_model_loader import load_settings_file
from carawaystep.validation.yaml_model_loader import load_yaml_model
from carawaystep.validation.yaml_model_loader import MAX_TEXT_BYTES

_LISTEN = "host: 127.0.0.1\nport: 80\n"

# In each row: a text with one mistake, then the line, the column and a part
# of the message that are expected.
_MISTAKES: list[tuple[str, int, int, str]] = [
    ("host: [\n", 2, 1, "not valid YAML"),
    ("host: a: b\n", 1, 8, "not valid YAML"),
    ("host: a\n\tport: 1\n", 2, 1, "not valid YAML"),
    ("host: 'a\n", 2, 1, "not valid YAML"),
    ("", 1, 1, "empty"),
    ("# only a comment\n", 1, 1, "empty"),
    ("- host\n", 1, 1, "must be a mapping"),
    (_LISTEN + "---\n" + _LISTEN, 3, 1, "more than one YAML document"),
    (_LISTEN + "port: 81\n", 3, 1, "given twice, first on line 2"),
    (_LISTEN + "1: x\n", 3, 1, "keys must be text"),
    (_LISTEN + "? [a]\n: x\n", 3, 3, "keys must be text"),
    ("host: &a x\nport: *a\n", 2, 7, "aliases such as *a"),
    ("host: !!str x\nport: 1\n", 1, 7, "tags"),
    ("%YAML 1.1\n---\n" + _LISTEN, 2, 1, "directives"),
    ("host: \x01\nport: 1\n", 1, 7, "U+0001"),
    ("host: \ud800\nport: 1\n", 1, 7, "U+D800"),
    ('host: "\\ud800"\nport: 1\n', 1, 7, "surrogate"),
    ("host: x\nport: .inf\n", 2, 7, "finite"),
    ("host: x\nport: " + "9" * 5000, 2, 7, "cannot be read"),
    ("host: x\nport: 1e3\n", 2, 7, "whole number"),
    ("host: x\nport: 65536\n", 2, 7, "at most 65,535"),
    ("[" * 1000, 1, 18, "nested deeper"),
    ("#" * (MAX_TEXT_BYTES + 1), 1, 1, "larger than 262,144 bytes"),
]


class YamlModelLoaderTest(TestCase):
    """Tests of problems in YAML text and settings."""

    def test_each_mistake_is_reported_at_its_position(self) -> None:
        """Guards against exceptions and wrong positions of problems."""
        for text, line, column, expected_text in _MISTAKES:
            loaded = load_yaml_model(text, "s.yaml", ListenSettings)
            (problem,) = loaded.unwrap_err()
            position = (problem.line, problem.column)
            self.assertEqual((line, column), position, text[:60])
            self.assertIn(expected_text, problem.detail)

    def test_nested_aliases_are_not_expanded(self) -> None:
        """Guards against a short text whose aliases exhaust the memory."""
        text = "a0: &a0 x\n" + "".join(
            f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9)}]\n"
            for n in range(1, 12)
        )
        problems = load_yaml_model(text, "s", ListenSettings).unwrap_err()
        aliases = [p for p in problems if "aliases" in p.detail]
        self.assertEqual(99, len(aliases))

    def test_positions_in_lists_and_mappings(self) -> None:
        """Guards against lost positions in list items and nested mappings."""
        text = (
            "services:\n  routes: {median_ms: 0}\nworkers:\n"
            "- {name: a, http: {host: x, port: 1}, guards: 'yes'}\n"
            "- name: B\n- 3\n"
        )
        loaded = load_yaml_model(text, "s", StandinWorkerProcessSettings)
        self.assertEqual(
            [(2, 23), (4, 47), (5, 3), (5, 9), (6, 3)],
            [(p.line, p.column) for p in loaded.unwrap_err()],
        )

    def test_unreadable_files_are_reported(self) -> None:
        """Guards against a traceback when a process starts."""
        directory = Path(self._create_directory())
        latin_1_file = directory / "latin.yaml"
        latin_1_file.write_bytes(b"name: a\nhttp: \xe9\n")
        for path, position, expected_text in (
            (directory / "absent.yaml", (1, 1), "No such file"),
            (directory, (1, 1), "Is a directory"),
            (latin_1_file, (2, 7), "0xE9 is not UTF-8"),
        ):
            loaded = load_settings_file(path, EntrySettings)
            (problem,) = loaded.unwrap_err()
            self.assertEqual(position, (problem.line, problem.column))
            self.assertIn(expected_text, problem.detail)

    def _create_directory(self) -> str:
        """Create a directory that is removed after the test."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return directory.name
