"""The command group ``settings``."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

from carawaystep.console.commands.settings_check import SettingsCheck

_Commands = cappa.Subcommands[SettingsCheck]


@cappa.command(name="settings", help="Check settings files.")
@dataclass
class SettingsCommand:
    """Groups the commands for settings files."""

    command: _Commands
