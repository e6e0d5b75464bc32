"""Bounds of numbers and addresses in input from outside the process."""

from __future__ import annotations

from typing import Annotated

import msgspec

_MIN_PORT = 1
_MAX_PORT = 65535

# Resources that a task may ask for; what no worker has is no error.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
# Thousandths of a core, megabytes and accelerators of one worker. A worker
# that claimed more would attract every task.
WorkerCpuMillis = Annotated[int, msgspec.Meta(ge=0, le=4_096_000)]
WorkerMemoryMb = Annotated[int, msgspec.Meta(ge=0, le=67_108_864)]
WorkerAccelerators = Annotated[int, msgspec.Meta(ge=0, le=4096)]
# Unix time in milliseconds up to the year 5138.
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=100_000_000_000_000)]
# Milliseconds of a clock or a duration; the largest is 3,000 years.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e14)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e11)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
# Versions and counters; MessagePack and the tables hold 64 bits.
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# The smallest holds a submission with a text of the usual length.
RowBytes = Annotated[int, msgspec.Meta(ge=4096, le=2**30)]
Cores = Annotated[float, msgspec.Meta(gt=0, le=4096)]

Port = Annotated[int, msgspec.Meta(ge=_MIN_PORT, le=_MAX_PORT)]


def find_address_problem(address: str) -> str:
    """Return what is wrong with an address ``HOST:PORT``, or an empty text."""
    host, _, port = address.rpartition(":")
    if not host or any(c.isspace() or c in "/?#@" for c in host):
        return f"address {address!r} names no host"
    if not (port.isascii() and port.isdigit()):
        return f"address {address!r} has no port"
    if len(port) > len(str(_MAX_PORT)) or not (
        _MIN_PORT <= int(port) <= _MAX_PORT
    ):
        return (
            f"port of address {address!r} is not between {_MIN_PORT} and"
            f" {_MAX_PORT}"
        )
    return ""
