"""Rights of the holder of a token."""

from __future__ import annotations

from dataclasses import dataclass

from carawaystep.access.role import Role

ALL_TEAMS = "*"  # team of a token that is not limited to one team


@dataclass(frozen=True, slots=True)
class Grant:
    """Team, roles and services of one token.

    :param team: team of the holder, ``*`` for all teams
    :param roles: roles of the holder
    :param services: services that the holder may use, None for all
    """

    team: str
    roles: frozenset[Role]
    services: frozenset[str] | None = None

    @property
    def document_team(self) -> str | None:
        """Return the only team whose documents may be written, None for all.

        Roles are not checked; only operators may write documents.
        """
        return None if self.team == ALL_TEAMS else self.team

    def has_role(self, *roles: Role) -> bool:
        """Return whether the holder has at least one of the roles."""
        return not self.roles.isdisjoint(roles)

    def covers_service(self, service: str) -> bool:
        """Return whether the holder may use a service."""
        return self.services is None or service in self.services

    def may_write_documents_of(self, team: str) -> bool:
        """Return whether the holder may write documents of a team."""
        return self.has_role(Role.OPERATOR) and self.document_team in (
            None,
            team,
        )
