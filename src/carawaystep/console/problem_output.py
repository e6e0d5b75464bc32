"""Output of problems of documents and settings."""

from __future__ import annotations

from dataclasses import asdict
import json
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.validation.problem import Problem


def print_problems(problems: Iterable[Problem]) -> None:
    """Write one line per problem to stderr."""
    for problem in problems:
        print(problem, file=sys.stderr)


def print_problems_as_json(problems: Iterable[Problem]) -> None:
    """Write one JSON object with all problems to stdout."""
    rows = [asdict(problem) for problem in problems]
    print(json.dumps({"ok": not rows, "problems": rows}))
