"""Check for path prefixes that no call can have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import RouteCheck
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


# A path ends where the query or the fragment of a URL begins.
_PATH_ENDS = ("?", "#")


class UnreachablePrefixCheck(RouteCheck):
    """Finds routes whose prefix no URL path begins with."""

    code = FindingCode.UNREACHABLE_PREFIX
    severity = Severity.WARNING
    advice = "write the path from its first slash to its last one"
    field = ConfiguredField.PATH_PREFIX

    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        prefix = route.path_prefix
        if prefix and not prefix.startswith("/"):
            return f'no path begins with "{prefix}", which lacks the first "/"'
        if any(end in prefix for end in _PATH_ENDS):
            return f'no path begins with "{prefix}", which has a query'
        return ""
