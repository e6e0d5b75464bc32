"""Result of claiming an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.request.reply import Reply


@dataclass(frozen=True, slots=True)
class DuplicateClaim:
    """Whether a non-idempotent request may run.

    :param granted: True if this request, and no other with its key, may run
    :param reply: reply to the caller if it may not run, else None
    :param version: version of the claimed row, expected by its next update
    """

    granted: bool
    reply: Reply | None = None
    version: int = 0
