"""Names of the scheduler's tables in the store, and keys of single rows."""

from __future__ import annotations

CONTROL = "control"
LEADER_KEY = "leader"
INTERFERENCE_KEY = "learned"
VOTERS_KEY = "voters"
MEMBERS = "members"
SUBMISSIONS = "submissions"
PROGRESS = "progress"
ENDED = "ended"
CANCELS = "cancels"
CALLERS = "callers"
