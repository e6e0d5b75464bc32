"""Directory of the files of one run."""

from __future__ import annotations

from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def open_run_directory(given: Path | None) -> Iterator[Path]:
    """Provide a directory for settings, tokens and output.

    :param given: a directory that stays, None for a temporary one
    """
    if given is not None:
        given.mkdir(parents=True, exist_ok=True)
        yield given.resolve()
        return
    with TemporaryDirectory(prefix="carawaystep-") as name:
        yield Path(name)
