"""Kinds of faults."""

from __future__ import annotations

from enum import StrEnum


class FaultKind(StrEnum):
    """Effect of a fault on its target."""

    KILL_ENTRY = "kill-entry"
    PAUSE_ENTRY = "pause-entry"
    STOP_ENTRY = "stop-entry"
    CUT_ZONE = "cut-zone"
    CUT_ENTRY = "cut-entry"
    SILENCE = "silence"
    PLATFORM_REFUSE = "platform-refuse"
    PLATFORM_DELAY = "platform-delay"
    PLATFORM_LOSE_ANSWERS = "platform-lose-answers"
    WORKER_REFUSE = "worker-refuse"
    WORKER_DELAY = "worker-delay"
    WORKER_FREEZE = "worker-freeze"
    WORKER_LAG = "worker-lag"
    WORKER_LOSE_ANSWERS = "worker-lose-answers"
    RESTART_WORKERS = "restart-workers"
    WORKER_LEAVES = "worker-leaves"
    VM_LEAVES = "vm-leaves"
    EDIT_RACE = "edit-race"
    CANCEL_WAVE = "cancel-wave"
