"""What all handlers share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.adapters.http.authenticator import Authenticator
    from carawaystep.adapters.http.call_runner import CallRunner
    from carawaystep.adapters.metrics.process_metrics import ProcessMetrics
    from carawaystep.entry.entry_service import EntryService
    from carawaystep.settings.entry_settings import EntrySettings

# Above the sum of the retries that a call of the platform may need; a caller
# that waits longer is told that the effect of its call is unknown.
CALL_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class HandlerContext:
    """Collaborators of the handlers.

    :param service: the entry
    :param authenticator: checks tokens
    :param runner: runs calls of the service
    :param settings: limits of bodies and deadlines
    :param metrics: counts calls
    """

    service: EntryService
    authenticator: Authenticator
    runner: CallRunner
    settings: EntrySettings
    metrics: ProcessMetrics
