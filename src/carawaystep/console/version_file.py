"""Versions on which the operator's document files are based."""

from __future__ import annotations

import json
import os
import tempfile
from typing import TYPE_CHECKING

from pydantic import NonNegativeInt
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME = ".carawaystep-versions.json"

_VERSIONS = TypeAdapter(dict[str, NonNegativeInt])


class VersionFile:
    """The file next to the documents that holds a version per service."""

    def __init__(self, folder: Path) -> None:
        """Create an accessor; the file need not exist.

        :param folder: folder of the documents
        """
        self._path = folder / FILE_NAME

    def version(self, service: str) -> Result[int, str]:
        """Return the version of a service, 0 when it was never applied."""
        return self._read().map(lambda versions: versions.get(service, 0))

    def record(self, service: str, version: int) -> Result[None, str]:
        """Store the version of a service."""
        versions = self._read()
        if isinstance(versions, Err):
            return versions
        text = json.dumps(
            versions.ok_value | {service: version}, indent=2, sort_keys=True
        )
        return replace_file(self._path, text + "\n")

    def _read(self) -> Result[dict[str, int], str]:
        try:
            return Ok(_VERSIONS.validate_json(self._path.read_bytes()))
        except FileNotFoundError:
            return Ok({})
        except OSError as error:
            return Err(f"{self._path} cannot be read: {error.strerror}")
        except ValidationError:
            return Err(
                f"{self._path} is not a JSON object of versions; delete it "
                "and run `carawaystep document show SERVICE --save FILE`"
            )


def replace_file(path: Path, text: str) -> Result[None, str]:
    """Write a file so that readers see the old or the new text whole."""
    temporary = ""
    try:
        with tempfile.NamedTemporaryFile(
            "wb", dir=path.parent, prefix=".carawaystep-", delete=False
        ) as file:
            temporary = file.name
            file.write(text.encode())
        os.replace(temporary, path)
    except OSError as error:
        if temporary and os.path.exists(temporary):
            os.unlink(temporary)
        return Err(f"{path} cannot be written: {error.strerror}")
    return Ok(None)
