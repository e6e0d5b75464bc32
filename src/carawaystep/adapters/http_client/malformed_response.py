"""Error of an answer that breaks the protocol."""

from __future__ import annotations


class MalformedResponse(Exception):  # noqa: N818
    """The answer cannot be trusted; the client returns it as a failure."""
