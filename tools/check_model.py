"""Model-checks the specifications in ``spec/`` with spin."""

from __future__ import annotations

import json
from pathlib import Path
import re
import shutil
import subprocess
import sys
from tempfile import TemporaryDirectory

_SPEC = Path(__file__).resolve().parent.parent / "spec"
_DEPTH = "1000000"
_PROGRAMS = ("spin", "gcc")
_EXIT_MISSING = 69

# Each mechanism that is switched off must lead to a violation.
_VARIANTS = {
    "leadership.pml": ("FENCE", "STORED", "CHECKED", "HEARD", "LOOKED"),
    "ownership.pml": ("FENCE", "EXACT", "INHERIT", "GENERATION"),
}


def check(model: Path, switched_off: str | None) -> dict[str, object]:
    """Check one model.

    :param model: a Promela file
    :param switched_off: mechanism that is left out, None for the whole model
    :returns: states visited and errors found
    :raises subprocess.CalledProcessError: when spin or the compiler fails
    """
    with TemporaryDirectory() as directory:
        options = [f"-D{switched_off}=0"] if switched_off else []
        _run(directory, "spin", *options, "-a", str(model))
        _run(
            directory,
            *("gcc", "-O2", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c"),
        )
        told = _run(directory, "./pan", f"-m{_DEPTH}")
    states = re.search(r"(\d+) states, stored", told)
    errors = re.search(r"errors: (\d+)", told)
    return {
        "model": model.name,
        "switched_off": switched_off,
        "states": int(states[1]) if states else 0,
        "errors": int(errors[1]) if errors else -1,
        "truncated": "max search depth too small" in told,
    }


def main() -> int:
    """Check all models and variants, one JSON line each.

    :returns: 0 when every whole model holds and every variant is caught,
        69 when a program that it needs is not installed
    """
    missing = [name for name in _PROGRAMS if shutil.which(name) is None]
    if missing:
        print(
            f"{', '.join(missing)} not found; install the Debian packages"
            " spin and gcc",
            file=sys.stderr,
        )
        return _EXIT_MISSING
    holds = True
    for name, mechanisms in _VARIANTS.items():
        for switched_off in (None, *mechanisms):
            result = check(_SPEC / name, switched_off)
            caught = result["errors"] != 0
            good = caught if switched_off else not caught
            good = good and not result["truncated"]
            holds = holds and good and result["errors"] != -1
            print(json.dumps(result | {"as_expected": good}), flush=True)
    return 0 if holds else 1


def _run(directory: str, *command: str) -> str:
    done = subprocess.run(
        command, cwd=directory, check=True, capture_output=True, text=True
    )
    return done.stdout


if __name__ == "__main__":
    sys.exit(main())
