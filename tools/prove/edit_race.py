"""Fault action in which two operators edit one document at once."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from tools.prove.accepted_edit import AcceptedEdit
from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from random import Random

    from tools.entry_rotation import EntryRotation
    from tools.http_caller import HttpCaller
    from tools.prove.document_in_force_check import DocumentInForceCheck
    from tools.prove.fault_record import FaultRecord

_CALL_TIMEOUT_S = 12.0
_OPERATOR_COUNT = 2
_EDIT_COMMENT = "\n# Edit "


class EditRace(FaultAction):
    """Replaces the same version concurrently through two entries."""

    def __init__(
        self,
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
        check: DocumentInForceCheck,
        random: Random,
    ) -> None:
        """Create the action.

        :param rotation: entries in turn
        :param caller: sends the calls
        :param token: token with the role operator
        :param check: records accepted edits
        :param random: makes the comment that makes each text unique
        """
        self._rotation = rotation
        self._caller = caller
        self._headers = {"Authorization": f"Bearer {token}"}
        self._check = check
        self._random = random

    async def run(self, record: FaultRecord) -> None:
        """Read the document and replace it through each entry."""
        service = record.fault.target
        entries = self._rotation.next_urls(_OPERATOR_COUNT)
        for entry in entries[:1]:
            url = f"{entry}/v1/documents/{service}"
            result = await self._caller.get(
                url, self._headers, _CALL_TIMEOUT_S
            )
            if not isinstance(result, Ok) or result.ok_value.status != 200:
                return
            content = result.ok_value.json()
            text = content["text"].partition(_EDIT_COMMENT)[0]
            await asyncio.gather(
                *(
                    self._put(entry_url, service, content["version"], text)
                    for entry_url in entries
                )
            )

    async def _put(
        self, entry: str, service: str, expected: int, text: str
    ) -> None:
        text = f"{text}{_EDIT_COMMENT}{self._random.getrandbits(64):016x}\n"
        result = await self._caller.put(
            f"{entry}/v1/documents/{service}?expected={expected}",
            {**self._headers, "Content-Type": "application/yaml"},
            text.encode(),
            _CALL_TIMEOUT_S,
        )
        if isinstance(result, Ok) and result.ok_value.status == 200:
            version = result.ok_value.json()["version"]
            self._check.record_edit(
                AcceptedEdit(service, version, text, monotonic())
            )
