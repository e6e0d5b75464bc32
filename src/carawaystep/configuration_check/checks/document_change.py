"""Base class of the checks of changed documents."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.field_detail import FieldDetail
    from carawaystep.configuration_check.finding import Finding
    from carawaystep.document.service_spec import ServiceSpec


class DocumentChangeCheck(Check):
    """Compares each document with the one in force for its service."""

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each change."""
        if subject.in_force is None:
            return
        in_force = {spec.service: spec for spec in subject.in_force.documents}
        for position, after in enumerate(subject.configuration.documents):
            before = in_force.get(after.service)
            if before is None:
                continue
            for change in self._changes(before, after):
                place = Location(Section.WORK, position, change.field)
                yield self._finding(subject, place, change.detail)

    @abstractmethod
    def _changes(
        self, before: ServiceSpec, after: ServiceSpec
    ) -> Iterator[FieldDetail]:
        """Yield the changes of fields."""
