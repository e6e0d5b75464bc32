"""Tests of deployment files and of the settings written from them."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from pydantic import BaseModel
from pydantic import ValidationError
from ruamel.yaml import YAML
from testtools import ExpectedException
from testtools import TestCase

from carawaystep.settings.entry_settings import EntrySettings
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from tools.deployment import Deployment
from tools.deployment import load_deployment
from tools.direct_port_map import DirectPortMap
from tools.managed_process import REPOSITORY_ROOT
from tools.port_allocator import PortAllocator
from tools.settings_writer import SettingsWriter


def _load(name: str) -> Deployment:
    path = REPOSITORY_ROOT / "examples" / name / "deployment.yaml"
    return load_deployment(path).unwrap()


class DeploymentTest(TestCase):
    """Examples have the expected size; invalid deployments are rejected."""

    def test_examples_have_the_size_of_today(self) -> None:
        """Guards against examples whose size differs from the design page."""
        for name in ("association", "papadakis"):
            deployment = _load(name)
            self.assertEqual(9, deployment.entry_count)
            zones = deployment.availability_zones
            self.assertEqual([8, 8, 8], [len(z.workers) for z in zones])
            size = deployment.worker
            self.assertEqual(
                (8, 64, 32.0, 125_000),
                (size.slots, size.connections, size.cpu, size.memory_mb),
            )

    def test_every_zone_has_an_entry(self) -> None:
        """Guards against workers that no entry can own."""
        names = _load("papadakis").entry_names(4)
        self.assertEqual(
            [2, 1, 1], [len(entries) for entries in names.values()]
        )

    def test_entry_count_has_limits(self) -> None:
        """Guards against a launch that hangs with an invalid entry count."""
        deployment = _load("papadakis")
        problems = [deployment.check_entry_count(n) for n in (2, 3, 9, 10)]
        self.assertEqual(
            [False, True, True, False],
            [problem is None for problem in problems],
        )

    def test_duplicate_worker_name_is_rejected(self) -> None:
        """Guards against two workers that share one ownership row."""
        fields = _load("papadakis").model_dump()
        zone = fields["availability_zones"][0]
        zone["workers"][1]["name"] = zone["workers"][0]["name"]
        with ExpectedException(
            ValidationError, "(?s).*'piraeus-w1' is used twice"
        ):
            Deployment.model_validate(fields)

    def test_message_names_the_field(self) -> None:
        """Guards against an error message that does not name the field."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "deployment.yaml"
            path.write_text("name: x\nworker: {slots: 0}\n")
            message = load_deployment(path).unwrap_err()
        self.assertIn("worker.slots", message)

    def test_settings_share_no_port_and_hide_tokens(self) -> None:
        """Guards against port clashes and tokens that others can read."""
        deployment = _load("papadakis")
        ports = PortAllocator()
        self.addCleanup(ports.close)
        with TemporaryDirectory() as name:
            directory = Path(name)
            writer = SettingsWriter(
                deployment, directory, ports, DirectPortMap()
            )
            writer.write_tokens()
            specs = [
                writer.write_platform(),
                *map(writer.write_workers, deployment.availability_zones),
                writer.write_entry("piraeus-e1", "piraeus"),
            ]
            used = [port for spec in specs for port in spec.ports]
            self.assertEqual(1 + 24 + 2, len(set(used)))
            secrets = [writer.tokens_file, writer.token_file("operators")]
            for path in secrets:
                self.assertEqual(0o600, path.stat().st_mode & 0o777)
            entry = self._read(EntrySettings, directory / "piraeus-e1.yaml")
            platform = self._read(
                StandinPlatformSettings, directory / "platform.yaml"
            )
        self.assertEqual(specs[0].url, entry.platform.url)
        self.assertEqual(24, len(platform.vms))

    @staticmethod
    def _read(model: type[BaseModel], path: Path) -> Any:
        content = YAML(typ="safe", pure=True).load(path)
        return model.model_validate(content)
