"""The command ``standin platform``."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from importlib import import_module
from typing import Any
from typing import TYPE_CHECKING

import cappa

from carawaystep.console.daemon_command import DaemonCommand
from carawaystep.console.daemon_command import serve_until_signal
from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.options import SettingsFileOption  # noqa: TC001
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)

if TYPE_CHECKING:
    from pydantic import BaseModel


@cappa.command(
    name="platform",
    help="Run the stand-in platform.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_SETTINGS
    ),
)
@dataclass
class StandinPlatform(DaemonCommand):
    """Runs the stand-in platform until SIGTERM or SIGINT."""

    settings: SettingsFileOption

    @property
    def settings_model(self) -> type[BaseModel]:
        """Return the model of the settings file."""
        return StandinPlatformSettings

    def _run(self, settings: Any) -> int:
        server = import_module("carawaystep.standin.platform.server")
        asyncio.run(serve_until_signal(server.serve, settings))
        return ExitCode.OK
