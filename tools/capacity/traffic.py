"""Counters of calls and bytes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Traffic of one kind of call from the view of the measured process.

    Bytes are TCP payload, without the headers of TCP and IP.

    :param calls: requests or messages
    :param sent_bytes: bytes that the measured process sent
    :param received_bytes: bytes that the measured process received
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
