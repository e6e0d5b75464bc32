"""Starts an example: ``python tools/launch.py EXAMPLE``.

Works from any directory and without PYTHONPATH, which a script that imports
the packages of the repository at its top would not.
"""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
import sys

_ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    """Run the command.

    :returns: exit code
    """
    sys.path[:0] = [str(_ROOT), str(_ROOT / "src")]
    return int(import_module("tools.launch_command").main())


if __name__ == "__main__":
    sys.exit(main())
