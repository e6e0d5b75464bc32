"""HTTP client of the platform's VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.platform_http.platform_bodies import VmsBody
from carawaystep.adapters.platform_http.platform_client import PlatformClient
from carawaystep.fleet.vm import Vm
from carawaystep.fleet.vm_directory import VmDirectory

if TYPE_CHECKING:
    from result import Result

    from carawaystep.settings.entry_settings import PlatformSettings
    from carawaystep.store.table_failure import TableFailure


_MAX_CONNECTIONS = 1


class HttpVmDirectory(VmDirectory):
    """Reads the platform's list of VMs that run workers."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create a client without connections.

        :param settings: URL of the platform and timeout of a call
        """
        self._client = PlatformClient(settings, _MAX_CONNECTIONS)

    async def vms(self) -> Result[tuple[Vm, ...], TableFailure]:
        """Return all VMs of the list."""
        result = await self._client.call("GET", "/v1/vms")
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status != 200:
            return self._client.unexpected_status(response)
        parsed = self._client.parse(VmsBody, response)
        if isinstance(parsed, Err):
            return parsed
        return Ok(
            tuple(
                Vm(
                    vm.name,
                    vm.availability_zone,
                    vm.rack,
                    vm.url,
                    vm.state,
                )
                for vm in parsed.ok_value.vms
            )
        )

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        await self._client.close()
