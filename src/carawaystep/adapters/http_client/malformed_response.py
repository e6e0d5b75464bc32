"""Error raised for a response that violates HTTP."""

from __future__ import annotations


class MalformedResponse(Exception):  # noqa: N818
    """The end of the response is not certain; the call failed."""
