"""The command group ``document``."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

from carawaystep.console.commands.document_apply import DocumentApply
from carawaystep.console.commands.document_check import DocumentCheck
from carawaystep.console.commands.document_diff import DocumentDiff
from carawaystep.console.commands.document_show import DocumentShow

_Commands = cappa.Subcommands[
    DocumentCheck | DocumentDiff | DocumentApply | DocumentShow
]


@cappa.command(name="document", help="Check and apply service documents.")
@dataclass
class DocumentCommand:
    """Groups the commands for service documents."""

    command: _Commands
