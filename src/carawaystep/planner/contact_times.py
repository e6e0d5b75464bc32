"""When the leader last heard the members that call a worker."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from carawaystep.fleet.worker_key import WorkerKey

# Returns, for a worker, the times of the last heartbeat before each silence of
# a member that was assigned the worker in this term; also its last one of all,
# because reports after it may be missing. Seconds of the leader's monotonic
# clock.
ContactTimes = Callable[[WorkerKey], Sequence[float]]
