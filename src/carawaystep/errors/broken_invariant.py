"""The only exception that stops a process."""

from __future__ import annotations


class BrokenInvariant(Exception):  # noqa: N818
    """An aggregate found a state that its rules exclude.

    Every other failure is a value. The process that sees this exception logs
    one line and exits with code 70.
    """
