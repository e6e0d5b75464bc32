"""Summary of where the time of a workflow went."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.timeline.decision_lines import DecisionLine

_EVENT = "workflow.timed"
_LIMIT_PREFIX = "wait_"
_PARTS = {
    "admission_s": "accepted until planned",
    "wait_s": "ready until placed",
    "store_s": "placed until stored and sent",
    "start_s": "sent until started",
    "run_s": "started until its end was reported",
    "publish_s": "ended until published",
}


def summarize_time(lines: Sequence[DecisionLine]) -> list[str]:
    """Return lines of text that split the time of a workflow.

    :param lines: the decisions about one workflow
    :returns: nothing when none of them has its times
    """
    timed = [line for line in lines if line.event == _EVENT]
    if not timed:
        return []
    inputs = timed[-1].inputs
    text = [
        f"took {inputs.get('total_s')} s, {inputs.get('use')}; its target was"
        f" {inputs.get('target_s')} s"
    ]
    for name, meaning in _PARTS.items():
        declared = ""
        if name == "run_s":
            declared = f" (declared: {inputs.get('declared_s')} s)"
        text.append(f"{inputs.get(name)!s:>9} s {meaning}{declared}")
        if name == "wait_s":
            text.extend(_limit_lines(inputs))
    return text


def _limit_lines(inputs: dict[str, object]) -> list[str]:
    limits = {
        name.removeprefix(_LIMIT_PREFIX).removesuffix("_s"): seconds
        for name, seconds in inputs.items()
        if name.startswith(_LIMIT_PREFIX) and name not in _PARTS
    }
    return [
        f"{seconds!s:>11} s refused by: {limit}"
        for limit, seconds in limits.items()
    ]
