"""Directory for the files of one run."""

from __future__ import annotations

from contextlib import contextmanager
from pathlib import Path
from shutil import copytree
from shutil import rmtree
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def open_run_directory(directory: Path | None) -> Iterator[Path]:
    """Provide a directory for settings, tokens and output.

    :param directory: directory that is kept, None for a temporary one
    """
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        yield directory.resolve()
        return
    with TemporaryDirectory(prefix="carawaystep-") as name:
        yield Path(name)


def copy_documents(example: Path, directory: Path) -> Path:
    """Copy the documents of an example into the directory of a run.

    ``document apply`` writes the versions that documents are based on to a
    file beside them. These versions are wrong for the next run, whose
    stand-in platform starts empty, so only the documents are copied.

    :param example: directory of the example
    :param directory: directory of the run
    :returns: the directory of the copies
    """
    copies = directory / "documents"
    rmtree(copies, ignore_errors=True)
    copytree(
        example / "documents",
        copies,
        ignore=lambda _, names: [n for n in names if not n.endswith(".yaml")],
    )
    return copies
