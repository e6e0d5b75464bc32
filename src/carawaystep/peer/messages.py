"""Messages between entry processes.

All message types stand in one module, because the tagged union of them is
the protocol.
"""

from __future__ import annotations

from msgspec import Struct


class EntryLoad(Struct, frozen=True):
    """Load of an entry, in every heartbeat.

    :param entry: name of the entry
    :param incarnation: id of its process
    :param availability_zone: name of its availability zone
    :param free_slots: slots that it could fill on its own workers
    :param queued: requests that wait in it
    :param documents_revision: platform revision of documents in force
    :param platform_reachable: whether its last platform call succeeded
    :param draining: True once a planned stop has begun
    """

    entry: str
    incarnation: str
    availability_zone: str
    free_slots: int
    queued: int
    documents_revision: int
    platform_reachable: bool
    draining: bool


class Heartbeat(Struct, frozen=True, tag="heartbeat"):
    """Ping with the sender's load."""

    sequence: int
    load: EntryLoad


class HeartbeatReply(Struct, frozen=True, tag="heartbeat-reply"):
    """Answer to a heartbeat with the receiver's load."""

    sequence: int
    load: EntryLoad


class ForwardRequest(Struct, frozen=True, tag="forward-request"):
    """A caller's request for a worker of the receiver.

    :param sequence: matches the reply on this link; never used again
    :param request_id: id given by the entry that accepted the request
    :param service: name of the service
    :param version: version of its document at the sender
    :param key: the caller's idempotency key, or None
    :param deadline_s: seconds left until the deadline
    :param body: the caller's body
    """

    sequence: int
    request_id: str
    service: str
    version: int
    key: str | None
    deadline_s: float
    body: bytes


class ForwardReply(Struct, frozen=True, tag="forward-reply"):
    """Outcome of a forwarded request.

    :param sequence: sequence of the forwarded request
    :param request_id: id of the request
    :param outcome: value of ``Outcome``
    :param reason: value of ``OutcomeReason``
    :param detail: sentence for the caller
    :param body: the worker's whole answer
    """

    sequence: int
    request_id: str
    outcome: str
    reason: str
    detail: str
    body: bytes


class DocumentRow(Struct, frozen=True):
    """One version of a document; the text is empty when it is deleted."""

    service: str
    version: int
    text: str


class VmRow(Struct, frozen=True):
    """A VM as the sender last read it from the platform."""

    name: str
    availability_zone: str
    rack: str
    url: str
    state: str


class PeerRow(Struct, frozen=True):
    """An entry as the sender knows it."""

    name: str
    incarnation: str
    availability_zone: str
    http_url: str
    peer_address: str


class FetchDocuments(Struct, frozen=True, tag="fetch-documents"):
    """Asks for documents and the VM list."""

    sequence: int


class DocumentsReply(Struct, frozen=True, tag="documents-reply"):
    """Documents in force at the receiver, its VM list and live entries."""

    sequence: int
    revision: int
    documents: tuple[DocumentRow, ...]
    vms: tuple[VmRow, ...]
    entries: tuple[PeerRow, ...] = ()


PeerMessage = (
    Heartbeat
    | HeartbeatReply
    | ForwardRequest
    | ForwardReply
    | FetchDocuments
    | DocumentsReply
)
