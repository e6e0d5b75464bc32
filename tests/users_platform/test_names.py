"""Tests that only the adapter uses the platform's names."""

from __future__ import annotations

from pathlib import Path
import re

from testtools import TestCase

_ROOT = Path(__file__).resolve().parents[2]

# Names of the platform for which the scheduler has names of its own.
_PLATFORM_NAMES = re.compile(
    r"ack_cursor|rows-(tx|get|feed)|run-(start|stop)|/api/hold|listen_addrs|"
    r"machine-(move|upkeep)|mem_mb|target_duration_ms|anti_affinity|"
    r"checkpoint_s|max_hold_ms|CARAWAYSTEP_CONFIG|"
    r"\"(queued_count|path_prefix)\""
)


class NamesTest(TestCase):
    """Sources outside of the adapter in ``platform/``."""

    def test_sources_outside_the_adapter_use_own_names(self) -> None:
        """Guards against a dependency of the scheduler on the platform."""
        found = [
            f"{path.relative_to(_ROOT)}: {match.group()}"
            for folder in ("src", "tools")
            for path in sorted((_ROOT / folder).rglob("*.py"))
            for match in _PLATFORM_NAMES.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_adapter_does_not_shadow_a_standard_module(self) -> None:
        """Guards against a package that hides the module ``platform``."""
        self.assertFalse((_ROOT / "platform" / "__init__.py").exists())
