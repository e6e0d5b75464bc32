"""The checks of each kind of configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.checks.attempts_reduced import (
    AttemptsReducedCheck,
)
from carawaystep.configuration_check.checks.body_limit_lowered import (
    BodyLimitLoweredCheck,
)
from carawaystep.configuration_check.checks.body_limit_too_small import (
    BodyLimitTooSmallCheck,
)
from carawaystep.configuration_check.checks.document_added import (
    DocumentAddedCheck,
)
from carawaystep.configuration_check.checks.document_changed import (
    DocumentChangedCheck,
)
from carawaystep.configuration_check.checks.duplicate_route import (
    DuplicateRouteCheck,
)
from carawaystep.configuration_check.checks.duplicate_service import (
    DuplicateServiceCheck,
)
from carawaystep.configuration_check.checks.job_attempts_reduced import (
    JobAttemptsReducedCheck,
)
from carawaystep.configuration_check.checks.kind_changed import (
    KindChangedCheck,
)
from carawaystep.configuration_check.checks.label_without_workers import (
    LabelWithoutWorkersCheck,
)
from carawaystep.configuration_check.checks.limit_changed import (
    LimitChangedCheck,
)
from carawaystep.configuration_check.checks.no_attempts import NoAttemptsCheck
from carawaystep.configuration_check.checks.objective_over_timeout import (
    ObjectiveOverTimeoutCheck,
)
from carawaystep.configuration_check.checks.repeats_allowed import (
    RepeatsAllowedCheck,
)
from carawaystep.configuration_check.checks.replicas_reduced import (
    ReplicasReducedCheck,
)
from carawaystep.configuration_check.checks.route_added import RouteAddedCheck
from carawaystep.configuration_check.checks.route_changed import (
    RouteChangedCheck,
)
from carawaystep.configuration_check.checks.route_moved import RouteMovedCheck
from carawaystep.configuration_check.checks.route_removed import (
    RouteRemovedCheck,
)
from carawaystep.configuration_check.checks.service_changed import (
    ServiceChangedCheck,
)
from carawaystep.configuration_check.checks.service_without_workers import (
    ServiceWithoutWorkersCheck,
)
from carawaystep.configuration_check.checks.shadowed_route import (
    ShadowedRouteCheck,
)
from carawaystep.configuration_check.checks.size_without_workers import (
    SizeWithoutWorkersCheck,
)
from carawaystep.configuration_check.checks.stretch_below_one import (
    StretchBelowOneCheck,
)
from carawaystep.configuration_check.checks.ticket_too_short import (
    TicketTooShortCheck,
)
from carawaystep.configuration_check.checks.tickets_changed import (
    TicketsChangedCheck,
)
from carawaystep.configuration_check.checks.unknown_service import (
    UnknownServiceCheck,
)
from carawaystep.configuration_check.checks.unmeetable_deadline import (
    UnmeetableDeadlineCheck,
)
from carawaystep.configuration_check.checks.unreachable_host import (
    UnreachableHostCheck,
)
from carawaystep.configuration_check.checks.unreachable_prefix import (
    UnreachablePrefixCheck,
)
from carawaystep.configuration_check.checks.version_not_raised import (
    VersionNotRaisedCheck,
)

if TYPE_CHECKING:
    from carawaystep.configuration_check.check import Check


def work_checks() -> tuple[Check, ...]:
    """Return the checks of declared work."""
    return (
        LabelWithoutWorkersCheck(),
        SizeWithoutWorkersCheck(),
        UnmeetableDeadlineCheck(),
    )


def document_checks() -> tuple[Check, ...]:
    """Return all checks of service documents."""
    return (
        *work_checks(),
        KindChangedCheck(),
        JobAttemptsReducedCheck(),
        ReplicasReducedCheck(),
        RepeatsAllowedCheck(),
        DocumentAddedCheck(),
        DocumentChangedCheck(),
    )


def route_checks() -> tuple[Check, ...]:
    """Return all checks of a configuration with routes."""
    return (
        VersionNotRaisedCheck(),
        DuplicateRouteCheck(),
        DuplicateServiceCheck(),
        UnknownServiceCheck(),
        BodyLimitTooSmallCheck(),
        TicketTooShortCheck(),
        ShadowedRouteCheck(),
        UnreachableHostCheck(),
        UnreachablePrefixCheck(),
        ServiceWithoutWorkersCheck(),
        ObjectiveOverTimeoutCheck(),
        NoAttemptsCheck(),
        StretchBelowOneCheck(),
        *work_checks(),
        RouteRemovedCheck(),
        RouteMovedCheck(),
        ServiceChangedCheck(),
        AttemptsReducedCheck(),
        TicketsChangedCheck(),
        BodyLimitLoweredCheck(),
        RouteAddedCheck(),
        RouteChangedCheck(),
        LimitChangedCheck(),
    )
