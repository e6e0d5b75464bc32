"""The command ``entry``."""

from __future__ import annotations

from dataclasses import dataclass
from importlib import import_module
from typing import Any
from typing import TYPE_CHECKING

import cappa

from carawaystep.console.daemon_command import DaemonCommand
from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.options import SettingsFileOption  # noqa: TC001
from carawaystep.settings.entry_settings import EntrySettings

if TYPE_CHECKING:
    from pydantic import BaseModel


@cappa.command(
    name="entry",
    help="Run the entry daemon.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_SETTINGS
    )
    + " The daemon itself exits with 70 after a broken invariant and with 75 "
    "if the drain limit interrupted work.",
)
@dataclass
class EntryCommand(DaemonCommand):
    """Runs the entry daemon until it stops."""

    settings: SettingsFileOption

    @property
    def settings_model(self) -> type[BaseModel]:
        """Return the model of the settings file."""
        return EntrySettings

    def _run(self, settings: Any) -> int:
        daemon = import_module("carawaystep.entry.daemon")
        return int(daemon.run(settings))
