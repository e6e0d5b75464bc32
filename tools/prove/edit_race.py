"""Two operators edit one document at the same time."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from tools.prove.edit import Edit
from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from random import Random

    from tools.entry_rotation import EntryRotation
    from tools.http_caller import HttpCaller
    from tools.prove.fault_record import FaultRecord
    from tools.prove.in_force_check import InForceCheck

_CALL_LIMIT_S = 12.0
_OPERATORS = 2
_MARK = "\n# Edit "


class EditRace(FaultAction):
    """Both operators replace the same version through two entries."""

    def __init__(
        self,
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
        check: InForceCheck,
        random: Random,
    ) -> None:
        """Create the action.

        :param rotation: entries in turn
        :param caller: sends the calls
        :param token: token with the role operator
        :param check: takes accepted edits
        :param random: source of the marks that tell texts apart
        """
        self._rotation = rotation
        self._caller = caller
        self._headers = {"Authorization": f"Bearer {token}"}
        self._check = check
        self._random = random

    async def run(self, record: FaultRecord) -> None:
        """Read the document and race."""
        service = record.fault.target
        entries = self._rotation.next_urls(_OPERATORS)
        for entry in entries[:1]:
            url = f"{entry}/v1/documents/{service}"
            sent = await self._caller.get(url, self._headers, _CALL_LIMIT_S)
            if not isinstance(sent, Ok) or sent.ok_value.status != 200:
                return
            content = sent.ok_value.json()
            text = content["text"].partition(_MARK)[0]
            await asyncio.gather(
                *(
                    self._put(one, service, content["version"], text)
                    for one in entries
                )
            )

    async def _put(
        self, entry: str, service: str, expected: int, text: str
    ) -> None:
        text = f"{text}{_MARK}{self._random.getrandbits(64):016x}\n"
        sent = await self._caller.put(
            f"{entry}/v1/documents/{service}?expected={expected}",
            {**self._headers, "Content-Type": "application/yaml"},
            text.encode(),
            _CALL_LIMIT_S,
        )
        if isinstance(sent, Ok) and sent.ok_value.status == 200:
            version = sent.ok_value.json()["version"]
            self._check.accept(Edit(service, version, text, monotonic()))
