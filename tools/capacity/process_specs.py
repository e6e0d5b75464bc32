"""Settings and command lines of the processes of one measurement."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING

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
from tools.capacity.simulated_deployment import MEASURED_ENTRY
from tools.capacity.simulated_deployment import MEASURED_ZONE
from tools.port_allocator import LOOPBACK_HOST
from tools.process_spec import ProcessSpec

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from carawaystep.settings.settings_model import SettingsModel

# With its usual limits the stand-in would delay the rows of the scenario.
_UNLIMITED_PER_S = 1_000_000.0
_RACK = "rack-1"
# Nothing listens there.
_UNUSED_URL = f"http://{LOOPBACK_HOST}:9"


class ProcessSpecs:
    """Writes settings files and describes the processes that read them."""

    def __init__(self, directory: Path) -> None:
        """Create specifications.

        :param directory: directory for the settings
        """
        self._directory = directory

    def platform(
        self,
        port: int,
        worker_ports: Mapping[str, int],
        other_vms: Sequence[tuple[str, str]],
    ) -> ProcessSpec:
        """Describe the stand-in platform.

        :param port: its port
        :param worker_ports: port by which the entry reaches each worker
        :param other_vms: name and availability zone of all other VMs
        """
        settings = StandinPlatformSettings(
            http=ListenSettings(host=LOOPBACK_HOST, port=port),
            writes_per_s=_UNLIMITED_PER_S,
            reads_per_s=_UNLIMITED_PER_S,
            vms=[
                _vm(
                    name, MEASURED_ZONE, f"http://{LOOPBACK_HOST}:{relay_port}"
                )
                for name, relay_port in worker_ports.items()
            ]
            + [_vm(name, zone, _UNUSED_URL) for name, zone in other_vms],
        )
        return self._standin("platform", settings, (port,))

    def workers(self, ports: Mapping[str, int], slots: int) -> ProcessSpec:
        """Describe the process of all workers.

        :param ports: port of each worker
        :param slots: slots of each worker
        """
        settings = StandinWorkerProcessSettings(
            workers=[
                StandinWorkerSettings(
                    name=name,
                    http=ListenSettings(host=LOOPBACK_HOST, port=port),
                    slots=slots,
                )
                for name, port in ports.items()
            ]
        )
        return self._standin("workers", settings, tuple(ports.values()))

    def entry(
        self, http_port: int, peer_port: int, platform_port: int, token: str
    ) -> ProcessSpec:
        """Describe the measured entry.

        :param http_port: port of its HTTP server
        :param peer_port: port of its peer address
        :param platform_port: port by which it reaches the platform
        :param token: token that it accepts from an operator
        """
        settings = EntrySettings(
            name=MEASURED_ENTRY,
            availability_zone=MEASURED_ZONE,
            http=ListenSettings(host=LOOPBACK_HOST, port=http_port),
            advertised_url=f"http://{LOOPBACK_HOST}:{http_port}",
            peer_address=f"tcp://{LOOPBACK_HOST}:{peer_port}",
            platform=PlatformSettings(
                url=f"http://{LOOPBACK_HOST}:{platform_port}"
            ),
            access=AccessSettings(tokens_file=self._write_tokens(token)),
            drain_limit_s=1.0,
        )
        path = self._write_settings(MEASURED_ENTRY, settings)
        arguments = ("carawaystep", "entry", "--settings", str(path))
        return ProcessSpec(
            "entry",
            MEASURED_ENTRY,
            (sys.executable, "-m", *arguments),
            ports=(http_port, peer_port),
        )

    def _standin(
        self, name: str, settings: SettingsModel, ports: tuple[int, ...]
    ) -> ProcessSpec:
        path = self._write_settings(name, settings)
        arguments = ("tools.capacity.standin_host", name, str(path))
        return ProcessSpec(
            "standin", name, (sys.executable, "-m", *arguments), ports=ports
        )

    def _write_settings(self, name: str, settings: SettingsModel) -> Path:
        # JSON is valid YAML and much faster to write for thousands of VMs.
        path = self._directory / f"{name}.json"
        path.write_text(settings.model_dump_json())
        return path

    def _write_tokens(self, token: str) -> Path:
        path = self._directory / "tokens.yaml"
        rows = [{"token": token, "team": "*", "roles": ["operator"]}]
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, 0o600), "w") as file:
            json.dump(rows, file)
        return path


def _vm(name: str, availability_zone: str, url: str) -> StandinVmSettings:
    return StandinVmSettings(
        name=name, availability_zone=availability_zone, rack=_RACK, url=url
    )
