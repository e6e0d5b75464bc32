"""Writes the settings files of a deployment on loopback."""

from __future__ import annotations

import os
from secrets import token_hex
import sys
from typing import TYPE_CHECKING

from ruamel.yaml import YAML

from carawaystep.settings.entry_settings import AccessSettings
from carawaystep.settings.entry_settings import EntrySettings
from carawaystep.settings.entry_settings import ListenSettings
from carawaystep.settings.entry_settings import PlatformSettings
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.settings.standin_platform_settings import StandinVmSettings
from carawaystep.settings.standin_worker_settings import (
    StandinWorkerProcessSettings,
)
from carawaystep.settings.standin_worker_settings import StandinWorkerSettings
from tools.port_allocator import LOOPBACK_HOST
from tools.process_spec import ProcessSpec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path
    from typing import Any

    from tools.deployment import Deployment
    from tools.deployment import DeploymentWorker
    from tools.deployment import DeploymentZone
    from tools.port_allocator import PortAllocator
    from tools.port_map import PortMap


class SettingsWriter:
    """Writes settings and token files and returns the processes to start."""

    def __init__(
        self,
        deployment: Deployment,
        directory: Path,
        ports: PortAllocator,
        port_map: PortMap,
    ) -> None:
        """Create a writer.

        :param deployment: deployment whose settings are written
        :param directory: directory for the files
        :param ports: reserves the ports of the processes
        :param port_map: ports at which the processes connect to each other
        """
        self._deployment = deployment
        self._directory = directory
        self._ports = ports
        self._port_map = port_map
        self._platform_port = ports.reserve()
        self._peer_ports: dict[str, int] = {}
        self._worker_ports = {
            worker.name: ports.reserve() for worker in deployment.workers
        }

    @property
    def tokens_file(self) -> Path:
        """Return the file with all tokens."""
        return self._directory / "tokens.yaml"

    def token_file(self, name: str) -> Path:
        """Return the file that holds one token and nothing else."""
        return self._directory / f"{name}.token"

    def write_tokens(self) -> None:
        """Generate tokens and write them to files with mode 600."""
        tokens = {spec.name: token_hex(24) for spec in self._deployment.tokens}
        token_entries = [
            {
                "token": tokens[spec.name],
                "team": spec.team,
                "roles": spec.roles,
            }
            for spec in self._deployment.tokens
        ]
        for name, token in tokens.items():
            self._write_secret(self.token_file(name), f"{token}\n")
        self._write_secret(self.tokens_file, "")
        self._write_yaml(self.tokens_file, token_entries)

    def write_platform(self) -> ProcessSpec:
        """Write the settings of the stand-in platform."""
        settings = StandinPlatformSettings(
            http=ListenSettings(host=LOOPBACK_HOST, port=self._platform_port),
            vms=[
                StandinVmSettings(
                    name=worker.name,
                    availability_zone=zone.name,
                    rack=worker.rack,
                    url=self._url(
                        self._port_map.worker_port(
                            worker.name, self._worker_ports[worker.name]
                        )
                    ),
                )
                for zone in self._deployment.availability_zones
                for worker in zone.workers
            ],
        )
        return ProcessSpec(
            "platform",
            "platform",
            self._command("platform", settings, "standin", "platform"),
            url=self._url(self._platform_port),
            ports=(self._platform_port,),
        )

    def write_workers(self, zone: DeploymentZone) -> ProcessSpec:
        """Write the settings of the stand-in workers of one zone."""
        size = self._deployment.worker
        settings = StandinWorkerProcessSettings(
            services=self._deployment.services,
            workers=[
                StandinWorkerSettings(
                    name=worker.name,
                    http=ListenSettings(
                        host=LOOPBACK_HOST,
                        port=self._worker_ports[worker.name],
                    ),
                    accelerators=worker.accelerators,
                    **size.model_dump(),
                )
                for worker in zone.workers
            ],
        )
        name = f"workers-{zone.name}"
        return ProcessSpec(
            "workers",
            name,
            self._command(name, settings, "standin", "worker"),
            zone=zone.name,
            url=self._worker_url(zone.workers[0]),
            ports=tuple(
                self._worker_ports[worker.name] for worker in zone.workers
            ),
            workers={
                worker.name: self._worker_url(worker)
                for worker in zone.workers
            },
        )

    def write_entry(
        self, name: str, zone: str, peers: Iterable[str] = ()
    ) -> ProcessSpec:
        """Write the settings of one entry process.

        :param name: name of the entry
        :param zone: availability zone of the entry
        :param peers: entries that it can start from while the platform is
            down
        """
        http_port = self._ports.reserve()
        peer_port = self._peer_port(name)
        platform_port = self._port_map.platform_port(name, self._platform_port)
        settings = EntrySettings(
            name=name,
            availability_zone=zone,
            http=ListenSettings(host=LOOPBACK_HOST, port=http_port),
            advertised_url=self._url(http_port),
            peer_address=f"tcp://{LOOPBACK_HOST}:{peer_port}",
            peer_advertised_address=self._peer_address(name),
            seed_peers=[
                self._peer_address(peer) for peer in peers if peer != name
            ],
            platform=PlatformSettings(url=self._url(platform_port)),
            access=AccessSettings(tokens_file=self.tokens_file),
            drain_limit_s=self._deployment.drain_limit_s,
        )
        return ProcessSpec(
            "entry",
            name,
            self._command(name, settings, "entry"),
            zone=zone,
            url=self._url(http_port),
            ports=(http_port, peer_port),
        )

    def _peer_port(self, entry: str) -> int:
        if entry not in self._peer_ports:
            self._peer_ports[entry] = self._ports.reserve()
        return self._peer_ports[entry]

    def _peer_address(self, entry: str) -> str:
        port = self._port_map.peer_port(entry, self._peer_port(entry))
        return f"tcp://{LOOPBACK_HOST}:{port}"

    def _command(
        self, name: str, settings: Any, *arguments: str
    ) -> tuple[str, ...]:
        path = self._directory / f"{name}.yaml"
        self._write_yaml(path, settings.model_dump(mode="json"))
        module = (sys.executable, "-m", "carawaystep")
        return (*module, *arguments, "--settings", str(path))

    def _worker_url(self, worker: DeploymentWorker) -> str:
        return self._url(self._worker_ports[worker.name])

    @staticmethod
    def _url(port: int) -> str:
        return f"http://{LOOPBACK_HOST}:{port}"

    @staticmethod
    def _write_secret(path: Path, text: str) -> None:
        # An existing file could be readable by others, so it is replaced.
        path.unlink(missing_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, 0o600), "w") as file:
            file.write(text)

    @staticmethod
    def _write_yaml(path: Path, content: Any) -> None:
        with path.open("w") as file:
            YAML(typ="safe", pure=True).dump(content, file)
