"""Validation model of an item of the tokens file."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from carawaystep.access.grant import Grant
from carawaystep.access.role import Role
from carawaystep.settings.entry_settings import NAME_PATTERN

_TEAM_PATTERN = rf"^\*$|{NAME_PATTERN}"
_TOKEN_PATTERN = r"^[\x21-\x7e]{16,256}$"  # noqa: S105

ServiceName = Annotated[str, Field(pattern=NAME_PATTERN)]


class TokenEntry(BaseModel):
    """A token and its rights; validation errors never show the token."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, hide_input_in_errors=True
    )

    token: str = Field(
        pattern=_TOKEN_PATTERN,
        repr=False,
        description="16 to 256 visible ASCII characters",
    )
    team: str = Field(pattern=_TEAM_PATTERN, description="team, * for all")
    roles: frozenset[Role] = Field(
        min_length=1, description="roles of the holder"
    )
    services: frozenset[ServiceName] | None = Field(
        default=None, description="allowed services, all if omitted"
    )

    def to_grant(self) -> Grant:
        """Return the rights without the token."""
        return Grant(self.team, self.roles, self.services)
