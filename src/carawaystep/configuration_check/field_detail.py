"""What a check has to say about one field."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.configuration_check.configured_field import (
        ConfiguredField,
    )


@dataclass(frozen=True, slots=True)
class FieldDetail:
    """A problem or change of one field of an entry.

    :param field: the field
    :param detail: what is wrong with it, or what changes
    """

    field: ConfiguredField
    detail: str
