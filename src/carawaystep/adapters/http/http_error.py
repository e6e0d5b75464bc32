"""Error that the front end returns to a caller."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class HttpError:
    """Content of an error reply.

    :param status: HTTP status
    :param code: error code for programs
    :param detail: sentence for people that names a next step
    :param headers: additional headers
    :param version: current version of a document after a conflict, else None
    """

    status: int
    code: str
    detail: str
    headers: dict[str, str] = field(default_factory=dict)
    version: int | None = None
