"""The command group ``standin``."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

from carawaystep.console.commands.standin_platform import StandinPlatform
from carawaystep.console.commands.standin_worker import StandinWorker

_Commands = cappa.Subcommands[StandinPlatform | StandinWorker]


@cappa.command(name="standin", help="Run a stand-in for tests and the demo.")
@dataclass
class StandinCommand:
    """Groups the commands that run stand-ins."""

    command: _Commands
