"""Tests that the platform's names stay in its adapter."""

from __future__ import annotations

from pathlib import Path
import re

from testtools import TestCase

_ROOT = Path(__file__).resolve().parents[2]

# Names that the platform alone uses; the product has its own for each.
_NAMES = re.compile(
    r"ack_cursor|rows-(tx|get|feed)|run-(start|stop)|/api/hold|listen_addrs|"
    r"machine-(move|upkeep)|mem_mb|target_duration_ms|anti_affinity|"
    r"checkpoint_s|max_hold_ms|CARAWAYSTEP_CONFIG|"
    r"\"(queued_count|path_prefix)\""
)


class NamesTest(TestCase):
    """Sources outside platform/."""

    def test_product_uses_its_own_names(self) -> None:
        """Guards against names of the platform in the product's code."""
        found = [
            f"{path.relative_to(_ROOT)}: {match.group()}"
            for folder in ("src", "tools")
            for path in sorted((_ROOT / folder).rglob("*.py"))
            for match in _NAMES.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_adapter_does_not_hide_a_module_of_the_library(self) -> None:
        """Guards against a package named like a standard module."""
        self.assertFalse((_ROOT / "platform" / "__init__.py").exists())
