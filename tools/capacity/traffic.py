"""Calls and bytes that a relay counted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Counts of one kind of call, seen from the measured process.

    Bytes are the payload of TCP, without its headers and those of IP.

    :param calls: requests or messages
    :param sent_bytes: bytes that the measured process sent
    :param received_bytes: bytes that it received
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
