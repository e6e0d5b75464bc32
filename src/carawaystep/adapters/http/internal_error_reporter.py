"""Log lines and error replies for unexpected exceptions."""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

from absl import logging

from carawaystep.adapters.http.http_error import HttpError
from carawaystep.errors.broken_invariant import BrokenInvariant

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaystep.adapters.metrics.process_metrics import ProcessMetrics


class InternalErrorReporter:
    """Logs unexpected exceptions and hides their text from callers."""

    def __init__(
        self,
        metrics: ProcessMetrics,
        on_broken_invariant: Callable[[BrokenInvariant], None],
    ) -> None:
        """Create a reporter.

        :param metrics: counts the exceptions
        :param on_broken_invariant: called with a broken invariant; must stop
            the process
        """
        self._metrics = metrics
        self._on_broken_invariant = on_broken_invariant

    def report(self, error: Exception) -> HttpError:
        """Log an exception and return the error reply.

        The reply and the log line have the same event id. A broken invariant
        is passed to ``on_broken_invariant`` instead of being logged here.
        """
        event_id = token_hex(8)
        self._metrics.count("http_internal_errors")
        if isinstance(error, BrokenInvariant):
            self._on_broken_invariant(error)
        else:
            logging.error("event %s: %r", event_id, error, exc_info=error)
        return HttpError(
            500,
            "internal",
            "the entry failed on this call; report the event id"
            f" {event_id} to its operators",
        )
