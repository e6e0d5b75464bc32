"""What is needed to start a process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """A process of a deployment.

    :param role: platform, workers, entry or command
    :param name: unique name
    :param command: argument vector
    :param zone: availability zone, None when it belongs to none
    :param url: base URL, None when it does not listen
    :param ports: ports that it binds
    :param workers: base URL of each worker that it hosts
    """

    role: str
    name: str
    command: tuple[str, ...]
    zone: str | None = None
    url: str | None = None
    ports: tuple[int, ...] = ()
    workers: dict[str, str] = field(default_factory=dict)
