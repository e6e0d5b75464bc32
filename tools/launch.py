"""Starts an example: ``python tools/launch.py EXAMPLE``.

Extends the module search path before it imports the packages of the
repository, so that it works from any directory and without PYTHONPATH.
"""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
import sys

_REPOSITORY_ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    """Run the launch command.

    :returns: exit code
    """
    sys.path[:0] = [str(_REPOSITORY_ROOT), str(_REPOSITORY_ROOT / "src")]
    return int(import_module("tools.launch_command").main())


if __name__ == "__main__":
    sys.exit(main())
