"""Entry point of the command line interface."""

from __future__ import annotations

from dataclasses import dataclass
from importlib import metadata
import sys

import cappa

from carawaystep.console.commands.document_command import DocumentCommand
from carawaystep.console.commands.entry_command import EntryCommand
from carawaystep.console.commands.explain import Explain
from carawaystep.console.commands.settings_command import SettingsCommand
from carawaystep.console.commands.standin_command import StandinCommand

_Commands = cappa.Subcommands[
    EntryCommand | StandinCommand | SettingsCommand | DocumentCommand | Explain
]


@cappa.command(
    name="carawaystep",
    help="Schedule latency-critical and batch work on the same VMs.",
)
@dataclass
class Application:
    """Root command that groups all commands."""

    command: _Commands


def main() -> None:
    """Run the command given by the process arguments and exit."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command.

    :param arguments: command line arguments without the program name
    :returns: exit code of the command
    """
    code = cappa.invoke(
        Application, argv=arguments, version=_version(), completion=False
    )
    return int(code)


def _version() -> str:
    try:
        return metadata.version("carawaystep")
    except metadata.PackageNotFoundError:
        return "unknown (run from a source tree that is not installed)"
