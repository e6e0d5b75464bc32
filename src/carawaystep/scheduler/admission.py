"""Admission of submissions at the node that the caller has reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.refusal import find_refusal
from carawaystep.scheduler.call_outcome import CallOutcome
from carawaystep.scheduler.first_attempts import FirstAttempts
from carawaystep.scheduler.open_submissions import OpenSubmissions
from carawaystep.scheduler.published_forecast import MAX_FORECAST_AGE_S
from carawaystep.scheduler.published_forecast import PublishedForecast
from carawaystep.scheduler.retry_schedule import retry_after_s
from carawaystep.scheduler.submission_answer import SubmissionAnswer

if TYPE_CHECKING:
    from carawaystep.planner.refusal import Refusal
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.scheduler.load_settings import LoadSettings
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# A caller may repeat a submission for some time after it was accepted. A
# node that has not known all accepted ids for as long leaves it to the leader
# to refuse.
_MIN_KNOWN_S = 10.0


class Admission:
    """Refuses submissions that surely cannot be finished in time.

    The node refuses at once, before anything is stored or sent, if it can
    be certain that the id is not accepted. Otherwise the leader decides.
    """

    def __init__(self, settings: LoadSettings) -> None:
        """Create an admission that has turned nobody away.

        :param settings: tells whether submissions are refused at all
        """
        self._enabled = settings.admission
        self._first_attempts = FirstAttempts()
        self.forecast = PublishedForecast()
        self.open_submissions = OpenSubmissions()

    def restore_first_attempt(self, spec: WorkflowSpec) -> WorkflowSpec:
        """Return a submission with the time of its first attempt."""
        return self._first_attempts.restore(spec) if self._enabled else spec

    def find_refusal(
        self,
        spec: WorkflowSpec,
        known_since: float | None,
        now: float,
        wall_now: float,
    ) -> Refusal | None:
        """Return why the node refuses a submission, None if it does not.

        :param spec: a submission whose id is not known as accepted
        :param known_since: since when all accepted ids are known, None if
            they are not
        :param now: current time in seconds, monotonic
        :param wall_now: current wall-clock time in seconds
        """
        if not self._enabled:
            return None
        if known_since is None or now - known_since < _MIN_KNOWN_S:
            return None
        if self.open_submissions.may_be_stored(spec.id, now):
            return None
        current = self.forecast.current(now)
        if current is None:
            return None
        forecast, age_s = current
        waited_s = max(0.0, wall_now - spec.accepted_at_s)
        return find_refusal(spec, forecast, age_s, waited_s)

    def turn_away(
        self, spec: WorkflowSpec, refusal: Refusal
    ) -> SubmissionAnswer:
        """Return the answer to a refused caller, whose place is kept."""
        self._first_attempts.record(spec)
        return SubmissionAnswer(
            CallOutcome.REFUSED, refusal, retry_after_s(spec.id, refusal)
        )


class LeaderAdmission:
    """Refuses submissions at the leader, which knows all accepted ids."""

    def __init__(self) -> None:
        """Create an admission that refuses nothing without a forecast."""
        self._forecast: RoomForecast | None = None

    def set_forecast(self, forecast: RoomForecast) -> None:
        """Replace the forecast, which was made on the leader's clock."""
        self._forecast = forecast

    def find_refusal(self, spec: WorkflowSpec, now: float) -> Refusal | None:
        """Return why the leader refuses a submission, None if it does not.

        It is taken as new, because the node that has received it may have
        another wall-clock time.

        :param spec: a submission whose id is not known
        :param now: current time of the leader's clock in seconds
        """
        if self._forecast is None:
            return None
        age_s = now - self._forecast.made_at
        if age_s > MAX_FORECAST_AGE_S:
            return None
        return find_refusal(spec, self._forecast, age_s, waited_s=0.0)
