"""Names of the scheduler's tables and keys."""

from __future__ import annotations

CONTROL = "control"
LEADER_KEY = "leader"
MEMBERS = "members"
SUBMISSIONS = "submissions"
PROGRESS = "progress"
ENDED = "ended"
CANCELS = "cancels"
