"""Result of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.reply import Reply


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The final reply to a request with its id.

    :param request_id: id that the entry assigned, empty when the service is
        not known
    :param reply: reply for the caller
    """

    request_id: str
    reply: Reply
