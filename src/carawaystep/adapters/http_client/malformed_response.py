"""Error of a response that violates the protocol."""

from __future__ import annotations


class MalformedResponse(Exception):  # noqa: N818
    """The response cannot be trusted; the client returns a failure."""
