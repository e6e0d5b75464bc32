"""Reading of UTF-8 text files of limited size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from carawaystep.validation.problem import Problem

if TYPE_CHECKING:
    from pathlib import Path


def read_text_file(
    path: Path, max_bytes: int
) -> Result[str, tuple[Problem, ...]]:
    """Read a UTF-8 file, at most one byte beyond the size limit.

    :param path: the file
    :param max_bytes: largest allowed size
    :returns: the text, or a problem that says why it cannot be used
    """
    source = str(path)
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        detail = f"the file cannot be read ({reason}); check the path"
        return Err((Problem(source, 1, 1, detail),))
    if len(data) > max_bytes:
        detail = f"the file is larger than {max_bytes:,} bytes; shorten it"
        return Err((Problem(source, 1, 1, detail),))
    return decode_text(data, source)


def decode_text(data: bytes, source: str) -> Result[str, tuple[Problem, ...]]:
    """Decode UTF-8 text.

    :param data: encoded text
    :param source: file name to report in problems
    :returns: the text, or a problem at the first invalid byte
    """
    try:
        return Ok(data.decode())
    except UnicodeDecodeError as error:
        lines_before = data[: error.start].decode().split("\n")
        detail = (
            f"byte 0x{data[error.start]:02X} is not UTF-8; save the file "
            "as UTF-8"
        )
        position = (len(lines_before), len(lines_before[-1]) + 1)
        return Err((Problem(source, *position, detail),))
