"""Lines of decision logs, read back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# Changes of these concern every request of their time.
_COMMON = ("leader.", "store.", "process.")


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """One decision.

    :param at: wall-clock time in seconds
    :param node: process that decided
    :param event: such as ``task.placed``
    :param subject: id that it is about
    :param inputs: further fields
    """

    at: float
    node: str
    event: str
    subject: str
    inputs: dict[str, object]


def parse_decision_line(text: str) -> DecisionLine | None:
    """Return the decision in a line of a log, None when it holds none.

    Whatever a collector has put before the JSON object is passed over.
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:], type=dict[str, object])
        at = msgspec.convert(fields.pop("t"), float)
        node, event, subject = (
            str(fields.pop(name)) for name in ("node", "event", "id")
        )
    except (KeyError, msgspec.MsgspecError):
        return None
    return DecisionLine(at, node, event, subject, fields)


def filter_by_request(
    lines: Iterable[DecisionLine], request: str
) -> list[DecisionLine]:
    """Return what concerns a request, in order of time.

    These are the lines about it and its tasks, and those about leaders, the
    store and processes between the first and the last of them.

    :param request: id of a workflow
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if _is_about(line, request)]
    if not own:
        return []
    begin, end = own[0].at, own[-1].at
    return [
        line
        for line in ordered
        if _is_about(line, request)
        or (begin <= line.at <= end and line.event.startswith(_COMMON))
    ]


def _is_about(line: DecisionLine, request: str) -> bool:
    return line.subject == request or line.subject.startswith(f"{request}.")
