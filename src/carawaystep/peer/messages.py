"""Messages between entry processes.

All message types are in one module because their tagged union,
``PeerMessage``, is the protocol.
"""

from __future__ import annotations

from msgspec import Struct


class EntryLoad(Struct, frozen=True):
    """Load of an entry, sent with every heartbeat.

    :param entry: name of the entry
    :param incarnation: id of its process
    :param availability_zone: name of its availability zone
    :param free_slots: free slots on the workers that it owns and may use
    :param queued: number of requests in its admission queue
    :param documents_revision: platform revision of the applied documents
    :param platform_reachable: whether its last read of a platform table
        succeeded
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
    """Heartbeat with the sender's load.

    :param sequence: number that the reply repeats
    :param load: load of the sender
    """

    sequence: int
    load: EntryLoad


class HeartbeatReply(Struct, frozen=True, tag="heartbeat-reply"):
    """Reply to a heartbeat, with the receiver's load.

    :param sequence: number of the heartbeat
    :param load: load of the receiver
    """

    sequence: int
    load: EntryLoad


class ForwardRequest(Struct, frozen=True, tag="forward-request"):
    """A caller's request to run on a worker of the receiver.

    :param sequence: number that the reply repeats, unique on this link
    :param request_id: dispatch id assigned by the entry that accepted the
        request, different for each retry
    :param service: name of the service
    :param version: version of the service's document at the sender; the
        receiver uses its own document and does not read it
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

    :param sequence: number of the forwarded request
    :param request_id: dispatch id of the forwarded request
    :param outcome: value of ``Outcome``
    :param reason: value of ``OutcomeReason``
    :param detail: message for the caller
    :param body: the worker's complete answer
    """

    sequence: int
    request_id: str
    outcome: str
    reason: str
    detail: str
    body: bytes


class DocumentInfo(Struct, frozen=True):
    """A version of a service document.

    :param service: name of the service
    :param version: row version of the document
    :param text: YAML text, empty if the document is deleted
    """

    service: str
    version: int
    text: str


class VmInfo(Struct, frozen=True):
    """A VM, as the sender last read it from the platform.

    :param name: name of the VM and its worker
    :param availability_zone: name of its availability zone
    :param rack: name of its rack
    :param url: base URL of its worker
    :param state: value of ``VmState``
    """

    name: str
    availability_zone: str
    rack: str
    url: str
    state: str


class PeerInfo(Struct, frozen=True):
    """A live entry, as known to the sender.

    :param name: name of the entry
    :param incarnation: id of its process
    :param availability_zone: name of its availability zone
    :param http_url: base URL for callers and operators
    :param peer_address: ZeroMQ address for other entries
    """

    name: str
    incarnation: str
    availability_zone: str
    http_url: str
    peer_address: str


class FetchDocuments(Struct, frozen=True, tag="fetch-documents"):
    """Request for the documents and the VM list.

    :param sequence: number that the reply repeats
    """

    sequence: int


class DocumentsReply(Struct, frozen=True, tag="documents-reply"):
    """Reply with the receiver's documents, VM list and live entries.

    :param sequence: number of the request
    :param revision: platform revision up to which documents are applied
    :param documents: all documents in force
    :param vms: the VM list
    :param entries: the live entries
    """

    sequence: int
    revision: int
    documents: tuple[DocumentInfo, ...]
    vms: tuple[VmInfo, ...]
    entries: tuple[PeerInfo, ...] = ()


PeerMessage = (
    Heartbeat
    | HeartbeatReply
    | ForwardRequest
    | ForwardReply
    | FetchDocuments
    | DocumentsReply
)
