"""Result of claiming the key of a non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.reply import Reply


@dataclass(frozen=True, slots=True)
class DuplicateClaim:
    """Whether the request may run.

    :param granted: True when this request, and no other, may run
    :param reply: what to tell the caller when it may not
    :param version: version of the claimed row, for the later update
    """

    granted: bool
    reply: Reply | None = None
    version: int = 0
