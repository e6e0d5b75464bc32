"""State shared by the tasks of one entry process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.availability_zone.fleet_view import FleetView
from carawaystep.document.document_set import DocumentSet
from carawaystep.entry.entry_phase import EntryLifecycle
from carawaystep.entry.entry_phase import EntryPhase
from carawaystep.job.job_index import JobIndex
from carawaystep.membership.entry_directory import EntryDirectory
from carawaystep.membership.ownership_policy import OwnershipPolicy
from carawaystep.peer.messages import EntryLoad
from carawaystep.request.admission_queue import AdmissionQueue
from carawaystep.worker.least_loaded_placement import LeastLoadedPlacement

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.entry.counters import Counters
    from carawaystep.entry.ports import Ports
    from carawaystep.membership.ownership import Ownership
    from carawaystep.settings.entry_settings import EntrySettings
    from carawaystep.timeline.event_ring import EventRing
    from carawaystep.worker.placement_policy import PlacementPolicy
    from carawaystep.worker.worker import Worker


class EntryState:
    """Aggregates of one process and the asyncio events of its tasks.

    All tasks run in one event loop, so changes without an await between them
    are atomic.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        ports: Ports,
        counters: Counters,
        events: EventRing,
    ) -> None:
        """Create the state of a starting process.

        :param settings: settings of the process
        :param incarnation: unique id of this process
        :param ports: adapters to the clock, the platform, workers and peers
        :param counters: counters of the process
        :param events: timeline events of the process
        """
        self.settings = settings
        self.incarnation = incarnation
        self.ports = ports
        self.counters = counters
        self.events = events
        self.lifecycle = EntryLifecycle()
        self.directory = EntryDirectory(
            settings.name, settings.availability_zone
        )
        self.fleet_view = FleetView(settings.availability_zone)
        self.ownership_policy = OwnershipPolicy(
            self.directory, settings.name, incarnation
        )
        self.documents = DocumentSet()
        self.jobs = JobIndex()
        self.queue = AdmissionQueue(settings.requests.queue_limit)
        self.placement: PlacementPolicy = LeastLoadedPlacement(
            settings.tasks.request_slots
        )
        self.workers: dict[str, Worker] = {}
        self.owners: dict[str, Ownership] = {}
        self.platform_reachable = False
        self.requests_in_flight = 0
        self.capacity_changed = asyncio.Event()
        self.claim_requested = asyncio.Event()
        self.documents_read_requested = asyncio.Event()
        self.vm_last_seen_at: dict[str, float] = {}
        self.vm_list_readable_since: float | None = None

    @property
    def now(self) -> float:
        """Return the current monotonic time in seconds."""
        return self.ports.clock.now()

    @property
    def draining(self) -> bool:
        """Return whether the process is draining or has stopped."""
        return self.lifecycle.phase in (
            EntryPhase.DRAINING,
            EntryPhase.STOPPED,
        )

    def spec(self, service: str) -> ServiceSpec | None:
        """Return the spec of the document in force, None if there is none."""
        document = self.documents.get(service)
        return None if document is None else document.spec

    def record_event(
        self, kind: str, subject: str, **details: str | int | float
    ) -> None:
        """Record a change of state on the timeline.

        :param kind: kind of event, such as ``worker.fenced``
        :param subject: name or id of what changed
        :param details: further values by name
        """
        self.events.record(kind, subject, self.now, **details)

    def notify_capacity(self) -> None:
        """Wake the tasks that wait for free capacity of a worker.

        It is also called when a document comes into force, because queued
        jobs of its service may now be claimable.
        """
        self.capacity_changed.set()
        self.claim_requested.set()

    def record_peer_load(self, load: EntryLoad) -> None:
        """Record a heartbeat of a peer with its load.

        Wakes the document follower if the peer has applied a higher revision,
        and the head of the queue if the peer has free slots.
        """
        now = self.now
        self.directory.record_heartbeat(load.entry, load.incarnation, now)
        self.fleet_view.record_load(load, now)
        if load.documents_revision > self.documents.revision:
            self.documents_read_requested.set()
        if load.free_slots > 0 and len(self.queue):
            self.capacity_changed.set()

    def own_load(self) -> EntryLoad:
        """Return the load of this process, as sent in heartbeats."""
        now = self.now
        return EntryLoad(
            entry=self.settings.name,
            incarnation=self.incarnation,
            availability_zone=self.settings.availability_zone,
            free_slots=sum(
                worker.free_slots
                for worker in self.workers.values()
                if worker.can_accept_work(now)
            ),
            queued=len(self.queue),
            documents_revision=self.documents.revision,
            platform_reachable=self.platform_reachable,
            draining=self.draining,
        )
