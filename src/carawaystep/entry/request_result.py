"""Result of a caller's request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.reply import Reply


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The only reply to a request.

    :param request_id: id that the entry gave to it
    :param reply: what the caller is told
    """

    request_id: str
    reply: Reply
