"""Objects that all HTTP handlers share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.adapters.http.authenticator import Authenticator
    from carawaystep.adapters.http.call_runner import CallRunner
    from carawaystep.adapters.metrics.process_metrics import ProcessMetrics
    from carawaystep.entry.entry_service import EntryService
    from carawaystep.settings.entry_settings import EntrySettings

# Longer than all retries together that an entry may need for a call to the
# platform. After this time, the reply states that the outcome is unknown.
CALL_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class HandlerContext:
    """Dependencies of the handlers.

    :param service: the entry
    :param authenticator: checks tokens
    :param runner: runs calls to the service
    :param settings: settings of the entry, with limits of bodies and
        deadlines
    :param metrics: receives counts of calls
    """

    service: EntryService
    authenticator: Authenticator
    runner: CallRunner
    settings: EntrySettings
    metrics: ProcessMetrics
