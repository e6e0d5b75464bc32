"""Parsing and filtering of decision logs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# Events with these prefixes affect all workflows that are in progress.
_GLOBAL_EVENT_PREFIXES = ("leader.", "store.", "process.")


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """One line of a decision log.

    :param at: wall-clock time, Unix seconds
    :param node: name of the node that made the decision
    :param event: name of the event, such as ``task.placed``
    :param subject: id of the workflow, task, node or other object concerned
    :param inputs: all other fields of the line: the values behind the
        decision, and its outcome
    """

    at: float
    node: str
    event: str
    subject: str
    inputs: dict[str, object]


def parse_decision_line(text: str) -> DecisionLine | None:
    """Parse a line of a decision log.

    Text before the JSON object, such as a log collector's prefix, is
    ignored.

    :param text: the line
    :returns: the decision, None when the line does not contain one
    """
    json_start = text.find("{")
    if json_start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[json_start:], type=dict[str, object])
        at = msgspec.convert(fields.pop("t"), float)
        node, event, subject = (
            str(fields.pop(name)) for name in ("node", "event", "id")
        )
    except (KeyError, msgspec.MsgspecError):
        return None
    return DecisionLine(at, node, event, subject, fields)


def filter_by_workflow(
    lines: Iterable[DecisionLine], workflow_id: str
) -> list[DecisionLine]:
    """Select the lines that explain a workflow, sorted by time.

    These are the lines about the workflow and its tasks and, between the
    first and the last of them, the lines about leaders, the store and
    processes.

    :param lines: lines of the logs of all processes, in any order
    :param workflow_id: id of the workflow
    :returns: the selected lines, empty when none is about the workflow
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own_lines = [line for line in ordered if _is_about(line, workflow_id)]
    if not own_lines:
        return []
    first_at, last_at = own_lines[0].at, own_lines[-1].at
    return [
        line
        for line in ordered
        if _is_about(line, workflow_id)
        or (
            first_at <= line.at <= last_at
            and line.event.startswith(_GLOBAL_EVENT_PREFIXES)
        )
    ]


def _is_about(line: DecisionLine, workflow_id: str) -> bool:
    return line.subject == workflow_id or line.subject.startswith(
        f"{workflow_id}."
    )
