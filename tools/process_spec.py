"""Specification of a process to start."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """Role, name, command and addresses of a process.

    :param role: platform, workers, entry or command
    :param name: unique name
    :param command: argument vector
    :param zone: availability zone, None when it belongs to none
    :param url: base URL, None when it does not listen
    :param ports: ports that it binds
    :param workers: base URL of each stand-in worker that it hosts
    """

    role: str
    name: str
    command: tuple[str, ...]
    zone: str | None = None
    url: str | None = None
    ports: tuple[int, ...] = ()
    workers: dict[str, str] = field(default_factory=dict)
