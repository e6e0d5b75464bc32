"""Place in a configuration, independent of its file format."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.configuration_check.configured_field import (
        ConfiguredField,
    )


class Section(Enum):
    """Parts of a configuration."""

    HEAD = "head"
    LIMITS = "limits"
    ROUTES = "routes"
    ROUTES_IN_FORCE = "routes in force"
    SERVICES = "services"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class Location:
    """An entry of a section, or a field of it.

    :param section: part of the configuration
    :param position: number of the entry in its section, 0 for the first
    :param field: field of the entry, None for the entry as a whole
    :param step: number of the step of declared work
    """

    section: Section
    position: int = 0
    field: ConfiguredField | None = None
    step: int = 0
