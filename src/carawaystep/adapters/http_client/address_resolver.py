"""Resolver of host names that takes IP addresses as they are."""

from __future__ import annotations

from ipaddress import ip_address
import socket
from typing import Any

from aiosonic.resolver import ThreadedResolver


class AddressResolver(ThreadedResolver):  # type: ignore[misc]
    """Looks up host names in a thread, but no IP addresses.

    A thread that waits for a processor delays the connection, and entries
    and workers are called by address.
    """

    async def resolve(
        self, hostname: str, port: int = 0, family: int = socket.AF_INET
    ) -> list[dict[str, Any]]:
        """Return the addresses of a host.

        :param hostname: name or IP address
        :param port: port to connect to
        :param family: address family of names that are looked up
        :returns: arguments of the connection to each address
        :raises OSError: the name cannot be resolved
        """
        try:
            version = ip_address(hostname).version
        except ValueError:
            found: list[dict[str, Any]]
            found = await super().resolve(hostname, port, family)
            return found
        return [
            {
                "hostname": hostname,
                "host": hostname,
                "port": port,
                "family": socket.AF_INET if version == 4 else socket.AF_INET6,
                "proto": socket.IPPROTO_TCP,
                "flags": socket.AI_NUMERICHOST,
            }
        ]
