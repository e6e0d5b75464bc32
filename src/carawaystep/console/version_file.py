"""Storage of the versions that local document files are based on."""

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

VERSION_FILE_NAME = ".carawaystep-versions.json"

_VERSIONS = TypeAdapter(dict[str, NonNegativeInt])


class VersionFile:
    """A JSON file beside the documents with the version of each service.

    ``document apply`` takes the expected versions from it and updates it, as
    does ``document show --save``.
    """

    def __init__(self, directory: Path) -> None:
        """Create an accessor of a file that need not exist.

        :param directory: directory of the documents
        """
        self._path = directory / VERSION_FILE_NAME

    def get_version(self, service: str) -> Result[int, str]:
        """Return the recorded version of a service, 0 if there is none.

        :param service: name of the service
        :returns: the version, or a message if the file is unusable
        """
        return self._read().map(lambda versions: versions.get(service, 0))

    def record_version(self, service: str, version: int) -> Result[None, str]:
        """Record the version of a service.

        :param service: name of the service
        :param version: version that its local file is now based on
        :returns: None, or a message if the file is unusable
        """
        versions = self._read()
        if isinstance(versions, Err):
            return versions
        text = json.dumps(
            versions.ok_value | {service: version}, indent=2, sort_keys=True
        )
        return write_file_atomically(self._path, text + "\n")

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


def write_file_atomically(path: Path, text: str) -> Result[None, str]:
    """Replace a file so that readers never see a partial text.

    :param path: file to write; its directory must exist
    :param text: new text
    :returns: None, or a message if the file cannot be written
    """
    temporary_name = ""
    try:
        with tempfile.NamedTemporaryFile(
            "wb", dir=path.parent, prefix=".carawaystep-", delete=False
        ) as file:
            temporary_name = file.name
            file.write(text.encode())
        os.replace(temporary_name, path)
    except OSError as error:
        if temporary_name and os.path.exists(temporary_name):
            os.unlink(temporary_name)
        return Err(f"{path} cannot be written: {error.strerror}")
    return Ok(None)
