"""Base class of commands that call an entry."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from pathlib import Path
import sys
from urllib.parse import urlsplit

from result import Err
from result import Ok
from result import Result

from carawaystep.console.exit_code import ExitCode
from carawaystep.console.operator_client import OperatorClient
from carawaystep.validation.text_file import read_text_file

_MAX_TOKEN_BYTES = 4096


class OperatorCommand(ABC):
    """Checks the URL and the token, then runs with a client."""

    url: str
    token_file: str

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        if not _is_url(self.url):
            return report_error(
                f"--url {self.url} is not an http:// or https:// URL",
                ExitCode.USAGE,
            )
        token = _read_token(self.token_file)
        if isinstance(token, Err):
            return report_error(token.err_value, ExitCode.USAGE)
        return asyncio.run(self._run_with_token(token.ok_value))

    async def _run_with_token(self, token: str) -> int:
        async with OperatorClient(self.url, token) as client:
            return await self._run(client)

    @abstractmethod
    async def _run(self, client: OperatorClient) -> int:
        """Run the command and return its exit code.

        :param client: client of the entry at the URL
        """


def report_error(message: str, code: ExitCode) -> ExitCode:
    """Write a message to stderr.

    :param message: what is wrong and what to do
    :param code: exit code of the command
    :returns: the exit code
    """
    print(message, file=sys.stderr)
    return code


def _is_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme in {"http", "https"} and bool(
            parts.hostname and parts.port != 0
        )
    except ValueError:
        return False


def _read_token(path: str) -> Result[str, str]:
    text = read_text_file(Path(path), _MAX_TOKEN_BYTES)
    if isinstance(text, Err):
        return Err(str(text.err_value[0]))
    token = text.ok_value.strip()
    if token.isascii() and token.isprintable() and token.split() == [token]:
        return Ok(token)
    return Err(f"{path} must contain one token of visible ASCII characters")
