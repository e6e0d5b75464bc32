"""Model-checks the specifications in ``spec/`` with spin."""

from __future__ import annotations

import json
from pathlib import Path
import re
import shutil
import subprocess
import sys
from tempfile import TemporaryDirectory

_SPEC_DIRECTORY = Path(__file__).resolve().parent.parent / "spec"
_MAX_SEARCH_DEPTH = "1000000"
_REQUIRED_PROGRAMS = ("spin", "gcc")
_EXIT_PROGRAM_MISSING = 69

# Mechanisms of each model. With any one of them switched off, spin must find
# a violation.
_MECHANISMS = {
    "grants.pml": ("CONFIRMED", "AFTER", "STORED", "EARLIER", "INCARNATION"),
    "leadership.pml": ("FENCE", "STORED", "CHECKED", "HEARD", "LOOKED"),
    "leases.pml": ("STORED", "CHECKED", "WAITED", "ALL", "KEPT"),
    "ownership.pml": ("FENCE", "EXACT", "INHERIT", "GENERATION"),
}


def check(model: Path, switched_off: str | None) -> dict[str, object]:
    """Check one model.

    :param model: a Promela file
    :param switched_off: mechanism to leave out, None for the complete model
    :returns: JSON object with the states visited, the errors found (-1 when
        spin printed no number) and whether the search was truncated
    :raises subprocess.CalledProcessError: when spin or the compiler fails
    """
    with TemporaryDirectory() as directory:
        options = [f"-D{switched_off}=0"] if switched_off else []
        _run(directory, "spin", *options, "-a", str(model))
        _run(
            directory,
            *("gcc", "-O2", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c"),
        )
        output = _run(directory, "./pan", f"-m{_MAX_SEARCH_DEPTH}")
    states = re.search(r"(\d+) states, stored", output)
    errors = re.search(r"errors: (\d+)", output)
    return {
        "model": model.name,
        "switched_off": switched_off,
        "states": int(states[1]) if states else 0,
        "errors": int(errors[1]) if errors else -1,
        "truncated": "max search depth too small" in output,
    }


def main() -> int:
    """Check all models and variants and print a JSON line for each.

    :returns: 0 when spin finds no error in the complete models and at least
        one in each variant, 1 otherwise, 69 when a required program is not
        installed
    """
    missing = [
        name for name in _REQUIRED_PROGRAMS if shutil.which(name) is None
    ]
    if missing:
        print(
            f"{', '.join(missing)} not found; install the Debian packages"
            " spin and gcc",
            file=sys.stderr,
        )
        return _EXIT_PROGRAM_MISSING
    all_as_expected = True
    for name, mechanisms in _MECHANISMS.items():
        for switched_off in (None, *mechanisms):
            result = check(_SPEC_DIRECTORY / name, switched_off)
            has_errors = result["errors"] != 0
            matches = has_errors if switched_off else not has_errors
            matches = matches and not result["truncated"]
            all_as_expected = (
                all_as_expected and matches and result["errors"] != -1
            )
            print(json.dumps(result | {"as_expected": matches}), flush=True)
    return 0 if all_as_expected else 1


def _run(directory: str, *command: str) -> str:
    completed = subprocess.run(
        command, cwd=directory, check=True, capture_output=True, text=True
    )
    return completed.stdout


if __name__ == "__main__":
    sys.exit(main())
