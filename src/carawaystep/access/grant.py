"""Rights that come with a token."""

from __future__ import annotations

from dataclasses import dataclass

from carawaystep.access.role import Role

ALL_TEAMS = "*"


@dataclass(frozen=True, slots=True)
class Grant:
    """Team, roles and services of one token.

    :param team: team of the holder, or ``*``
    :param roles: what the holder may do
    :param services: services that it is limited to, None for all
    """

    team: str
    roles: frozenset[Role]
    services: frozenset[str] | None = None

    @property
    def document_team(self) -> str | None:
        """Return the team whose documents it may write, None for all."""
        return None if self.team == ALL_TEAMS else self.team

    def has_role(self, *roles: Role) -> bool:
        """Tell whether it has at least one of the roles."""
        return not self.roles.isdisjoint(roles)

    def covers_service(self, service: str) -> bool:
        """Tell whether it extends to a service."""
        return self.services is None or service in self.services

    def may_write_documents_of(self, team: str) -> bool:
        """Tell whether it may write documents that belong to a team."""
        return self.has_role(Role.OPERATOR) and self.document_team in (
            None,
            team,
        )
