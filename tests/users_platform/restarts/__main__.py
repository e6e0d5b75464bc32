"""Plays restarts: ``python -m tests.users_platform.restarts --seed N``.

With the environment variable KEEP_LOGS, the logs and all runs of each play are
copied to that directory.
"""

from __future__ import annotations

from argparse import ArgumentParser
import asyncio
from dataclasses import asdict
import json
import os
from pathlib import Path
import shutil
import signal
import sys
from tempfile import TemporaryDirectory
from typing import Any

from tests.users_platform.restarts.play import draw_restarts
from tests.users_platform.restarts.play import Play
from tests.users_platform.restarts.play import Setting
from tests.users_platform.restarts.restarting_worker import Cut

_SETTINGS = {
    "cut-off": Setting(Cut.ALL, quiet_crashes=True),
    "cut-off-sparse": Setting(Cut.ALL, call_interval_s=0.9),
    "cut-off-dense": Setting(Cut.ALL),
    "one-way": Setting(Cut.ANSWERS, quiet_crashes=True),
    "one-way-sparse": Setting(Cut.ANSWERS, call_interval_s=0.9),
    "late-0.5": Setting(Cut.ALL, late_start_s=0.5),
    "late-1": Setting(Cut.ALL, late_start_s=1.0),
    "late-2": Setting(Cut.ALL, late_start_s=2.0),
    "late-4": Setting(Cut.ALL, late_start_s=4.0),
    "late-1-new-leader": Setting(
        Cut.ALL, late_start_s=1.0, leader_killed_s=2.0
    ),
    "cut-off-new-leader": Setting(
        Cut.ALL, quiet_crashes=True, leader_killed_s=2.0
    ),
}


def main() -> int:
    """Play, print a JSON line for each play and return the exit status."""
    parser = ArgumentParser(prog="python -m tests.users_platform.restarts")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--setting", choices=_SETTINGS, action="append")
    options = parser.parse_args()
    # The end of a play stops the processes that it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    broken = False
    for name in options.setting or _SETTINGS:
        for seed in range(options.seed, options.seed + options.plays):
            result = _play(name, seed)
            print(json.dumps(result), flush=True)
            broken = broken or bool(result["overlaps"])
    return int(broken)


def _play(name: str, seed: int) -> dict[str, Any]:
    with TemporaryDirectory() as directory:
        play = Play(Path(directory), _SETTINGS[name], draw_restarts(seed))
        asyncio.run(play.run())
        result = {
            "setting": name,
            "seed": seed,
            "starts": len(play.ledger.runs),
            "restarts": [asdict(restart) for restart in play.restarts],
            "overlaps": [asdict(pair) for pair in play.ledger.overlaps()],
        }
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = Path(keep) / f"{name}-{seed}"
            shutil.copytree(directory, target, dirs_exist_ok=True)
            runs = [asdict(run) for run in play.ledger.runs]
            (target / "runs.json").write_text(json.dumps([result, *runs]))
    return result


if __name__ == "__main__":
    sys.exit(main())
