"""Times at which callers that were turned away are told to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from carawaystep.planner.refusal import Refusal

# Long enough for the election of a leader and most short store outages.
DEFAULT_RETRY_AFTER_S = 1


def retry_after_s(workflow_id: str, refusal: Refusal) -> int:
    """Return after how many whole seconds a caller may come back.

    The ids decide who comes when, so that callers that were turned away
    together are spread over the time in which an end can still be of use.

    :param workflow_id: id of the refused submission
    :returns: at least 1, at most the whole seconds until its latest start
    """
    latest_s = max(DEFAULT_RETRY_AFTER_S, int(refusal.latest_start_s))
    return DEFAULT_RETRY_AFTER_S + crc32(workflow_id.encode()) % latest_s
