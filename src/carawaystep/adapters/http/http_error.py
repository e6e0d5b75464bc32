"""A call that the front end answers with an error."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class HttpError:
    """An error reply.

    :param status: HTTP status
    :param code: error code for programs
    :param detail: sentence for people, with a next step
    :param headers: further headers
    :param version: present version of a document in conflict, else None
    """

    status: int
    code: str
    detail: str
    headers: dict[str, str] = field(default_factory=dict)
    version: int | None = None
