"""Finding of a check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.configuration_check.finding_code import FindingCode
    from carawaystep.configuration_check.severity import Severity


@dataclass(frozen=True, slots=True)
class Finding:
    """Something in a configuration that an operator should know.

    :param code: kind of the finding
    :param severity: what it means for the use of the configuration
    :param path: place in the file, in the words of its format
    :param detail: what is there and what is allowed
    :param advice: what to do, on one line
    """

    code: FindingCode
    severity: Severity
    path: str
    detail: str
    advice: str

    def __str__(self) -> str:
        """Return ``severity code at path: detail; advice`` on one line."""
        text = (
            f"{self.severity} {self.code} at {self.path}: {self.detail};"
            f" {self.advice}"
        )
        return text if text.isprintable() else _escape(text)


def _escape(text: str) -> str:
    """Replace line breaks and control characters, which names may contain."""
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode()
        for character in text
    )
