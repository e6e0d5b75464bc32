"""What a workflow still needs, and until when its end is of use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """The work that is left of an occurrence; times are wall-clock seconds.

    :param target_duration_s: time in which it is to end, in seconds
    :param deadline: time by which it is to end
    :param useful_until: time after which its end is of no use
    :param critical_path_s: declared run time of the longest chain of steps
        that are not done, in seconds
    :param cpu_s: declared CPU time of the tasks that are not done, seconds
        of one core
    :param all_cpu_s: declared CPU time of all tasks
    :param all_tasks: number of all tasks
    """

    target_duration_s: float
    deadline: float
    useful_until: float
    critical_path_s: float
    cpu_s: float
    all_cpu_s: float
    all_tasks: int

    def slack_s(self, wall_now: float) -> float:
        """Return how long it can wait and still end by its deadline.

        :param wall_now: current wall-clock time in seconds
        """
        return self.deadline - wall_now - self.critical_path_s

    def useful_slack_s(self, wall_now: float) -> float:
        """Return how long it can wait and still be of use.

        :param wall_now: current wall-clock time in seconds
        """
        return self.useful_until - wall_now - self.critical_path_s
