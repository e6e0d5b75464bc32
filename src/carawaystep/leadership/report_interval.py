"""How often workers report to the leader."""

from __future__ import annotations

# Tail latencies in reports cover half a second, so that more frequent ones
# bring little news.
_SHORTEST_S = 0.35
# Harm and lost runs have to be noticed within a second.
_LONGEST_S = 0.7
# Reports that a leader takes in a second for each core that it has.
_REPORTS_PER_CORE = 120.0
# Few workers that come or go do not change the interval of all others.
_STEP_S = 0.05


def report_interval_s(workers: int, cores: float) -> float:
    """Return the longest time between two reports of one worker.

    :param workers: number of workers that report
    :param cores: processor of the leader, cores of usual speed
    """
    wanted_s = workers / (_REPORTS_PER_CORE * cores)
    steps = round(wanted_s / _STEP_S)
    return min(_LONGEST_S, max(_SHORTEST_S, steps * _STEP_S))
