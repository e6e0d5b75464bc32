"""Content of the heartbeat row of an entry process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """State of an entry, stored at each heartbeat.

    ``EntryRow`` is its stored form.

    :param name: name of the entry, from its settings
    :param incarnation: id of the process, new at each start
    :param availability_zone: name of its availability zone
    :param http_url: base URL for callers and operators
    :param peer_address: ZeroMQ address for other entries
    :param documents_revision: platform revision of the applied documents
    :param draining: True once a planned stop has begun
    :param beat: sequence number of the heartbeat
    """

    name: str
    incarnation: str
    availability_zone: str
    http_url: str
    peer_address: str
    documents_revision: int
    draining: bool
    beat: int
