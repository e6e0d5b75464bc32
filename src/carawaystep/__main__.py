"""Runs the command line with ``python -m carawaystep``."""

from __future__ import annotations

from carawaystep.console.application import main

if __name__ == "__main__":
    main()
