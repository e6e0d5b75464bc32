"""When the leader last heard the members that call a worker."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from carawaystep.fleet.worker_key import WorkerKey

# By worker, the times of the last heartbeat before each silence of a member
# that was assigned the worker in this term; also its last one of all, because
# reports after it may be missing. Seconds of the leader's monotonic clock.
ContactTimes = Mapping[WorkerKey, Sequence[float]]
