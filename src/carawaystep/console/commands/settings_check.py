"""The command ``settings check``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from typing import Literal
from typing import TYPE_CHECKING

import cappa
from result import Err

from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.options import JsonOption  # noqa: TC001
from carawaystep.console.problem_output import print_problems
from carawaystep.console.problem_output import print_problems_as_json
from carawaystep.settings.entry_settings import EntrySettings
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.settings.standin_worker_settings import (
    StandinWorkerProcessSettings,
)
from carawaystep.validation.yaml_model_loader import load_settings_file

if TYPE_CHECKING:
    from pydantic import BaseModel

_MODELS: dict[str, type[BaseModel]] = {
    "entry": EntrySettings,
    "standin-platform": StandinPlatformSettings,
    "standin-worker": StandinWorkerProcessSettings,
}


@cappa.command(
    name="check",
    help="Check a settings file.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_SETTINGS
    ),
)
@dataclass
class SettingsCheck:
    """Reports all problems of a settings file."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Settings file.")]
    kind: Annotated[
        Literal["entry", "standin-platform", "standin-worker"],
        cappa.Arg(long=True, help="Process that reads the file."),
    ]
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        loaded = load_settings_file(Path(self.file), _MODELS[self.kind])
        problems = loaded.err_value if isinstance(loaded, Err) else ()
        if self.json:
            print_problems_as_json(problems)
        else:
            print_problems(problems)
        return ExitCode.INVALID_SETTINGS if problems else ExitCode.OK
