"""Documents of the services that the simulation runs."""

from __future__ import annotations

from carawaystep.document.service_kind import ServiceKind
from tools.example_service import ExampleService

_HEAD = """\
service: {service}
team: proof
kind: {kind}
urgency: {urgency}
needs: {{cpu: {cpu}, memory_mb: 100, accelerators: 0}}
"""

TEXTS = {
    "bookings": _HEAD.format(
        service="bookings", kind="latency-critical", urgency=80, cpu=1.0
    )
    + "requests: {idempotent: true, deadline_s: 3.0}\n",
    "charges": _HEAD.format(
        service="charges", kind="latency-critical", urgency=90, cpu=1.0
    )
    + "requests: {idempotent: false, deadline_s: 3.0}\n",
    "rechecks": _HEAD.format(
        service="rechecks", kind="batch", urgency=20, cpu=4.0
    )
    + "batch: {run_s: 20, due_s: 600, max_attempts: 50}\n",
    "monitors": _HEAD.format(
        service="monitors", kind="standing", urgency=30, cpu=1.0
    )
    + "standing: {replicas: 2}\n",
}

SERVICES = (
    ExampleService("bookings", ServiceKind.LATENCY_CRITICAL, True, 3.0),
    ExampleService("charges", ServiceKind.LATENCY_CRITICAL, False, 3.0),
    ExampleService("rechecks", ServiceKind.BATCH),
    ExampleService("monitors", ServiceKind.STANDING),
)
