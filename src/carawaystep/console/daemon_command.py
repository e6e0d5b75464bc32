"""Base class of commands that run a daemon."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from pathlib import Path
import signal
from typing import Any
from typing import TYPE_CHECKING

from result import Err

from carawaystep.console.exit_code import ExitCode
from carawaystep.console.problem_output import print_problems
from carawaystep.validation.yaml_model_loader import load_settings_file

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pydantic import BaseModel


class DaemonCommand(ABC):
    """Loads the settings and runs a daemon unless they are invalid."""

    settings: str

    @property
    @abstractmethod
    def settings_model(self) -> type[BaseModel]:
        """Return the model of the settings file."""

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        loaded = load_settings_file(Path(self.settings), self.settings_model)
        if isinstance(loaded, Err):
            print_problems(loaded.err_value)
            return ExitCode.INVALID_SETTINGS
        return self._run(loaded.ok_value)

    @abstractmethod
    def _run(self, settings: Any) -> int:
        """Run the daemon until it ends and return the exit code.

        :param settings: validated instance of ``settings_model``
        """


async def serve_until_signal(
    serve: Callable[[Any, asyncio.Event], Awaitable[Any]], settings: Any
) -> None:
    """Run a server until SIGTERM or SIGINT sets its stop event.

    :param serve: coroutine function that serves until its event is set
    :param settings: settings of the server
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await serve(settings, stop)
