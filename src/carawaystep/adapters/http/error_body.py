"""Body of all error replies."""

from __future__ import annotations

from pydantic import BaseModel


class ErrorBody(BaseModel):
    """Error in a reply.

    :param error: code for programs
    :param detail: sentence for people
    :param version: current version of a document after a conflict
    """

    error: str
    detail: str
    version: int | None = None
