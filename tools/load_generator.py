"""Callers of a latency-critical service."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from hashlib import sha256
import json
from secrets import token_hex
from time import monotonic
from typing import TYPE_CHECKING

from result import Err

from carawaystep.request.outcome import Outcome
from tools.call_record import CallRecord
from tools.send_failure import SendFailure

if TYPE_CHECKING:
    from tools.entry_rotation import EntryRotation
    from tools.example_service import ExampleService
    from tools.http_caller import HttpCaller
    from tools.load_plan import LoadPlan
    from tools.timed_response import TimedResponse

# Beyond the deadline an entry still has to send its response.
_RESPONSE_MARGIN_S = 5.0
_MAX_SENDS = 3


class LoadGenerator:
    """Sends requests through all entries, one task for each caller.

    A caller whose connection breaks does not know the outcome. It sends an
    idempotent request again through another entry, a non-idempotent one
    only with the same key and when the plan asks for it.
    """

    def __init__(
        self,
        service: ExampleService,
        plan: LoadPlan,
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
    ) -> None:
        """Create a generator.

        :param service: service to call
        :param plan: how much to send
        :param rotation: entries in turn
        :param caller: sends the calls
        :param token: token with the role caller
        """
        self._service = service
        self._plan = plan
        self._rotation = rotation
        self._caller = caller
        self._token = token
        self._run = token_hex(4)
        self._begun = 0
        self._records: list[CallRecord] = []

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """Return all calls so far."""
        return tuple(self._records)

    async def run(self) -> None:
        """Send requests until the bounds of the plan are reached."""
        until = monotonic() + self._plan.duration_s
        async with asyncio.TaskGroup() as group:
            for _ in range(self._plan.callers):
                group.create_task(self._run_caller(until))

    async def _run_caller(self, until: float) -> None:
        while monotonic() < until and self._begun < self._plan.max_requests:
            self._begun += 1
            await self._request(self._begun)
            await asyncio.sleep(self._plan.pause_s)

    async def _request(self, number: int) -> None:
        if self._service.idempotent:
            await self._send_until_known(number)
            return
        key = f"{self._service.name}-{self._run}-{number}"
        turn, rest = divmod(number, self._plan.repeat_every)
        entries = self._rotation.next_urls(2 if rest == 0 else 1)
        sends = [self._send(number, key, entry) for entry in entries]
        # Every second repeat follows the first reply, so that both the
        # stored answer and the race for the key are tried.
        if turn % 2 == 0:
            records = [await send for send in sends]
        else:
            records = list(await asyncio.gather(*sends))
        answered = any(
            record is not None and record.outcome is Outcome.ANSWERED
            for record in records
        )
        if answered or self._plan.resend_after_s is None:
            return
        await asyncio.sleep(self._plan.resend_after_s)
        for entry in self._rotation.next_urls():
            await self._send(number, key, entry)

    async def _send_until_known(self, number: int) -> None:
        for _ in range(_MAX_SENDS):
            for entry in self._rotation.next_urls():
                record = await self._send(number, None, entry)
                if record is not None and record.status is not None:
                    return

    async def _send(
        self, number: int, key: str | None, entry: str
    ) -> CallRecord | None:
        """Send one call.

        :returns: its record, None when it was not sent
        """
        headers = {"Authorization": f"Bearer {self._token}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        body = json.dumps({"number": number, "run": self._run}).encode()
        start = monotonic()
        sent = await self._caller.post(
            f"{entry}/v1/services/{self._service.name}/requests",
            headers,
            body,
            self._service.deadline_s + _RESPONSE_MARGIN_S,
        )
        if isinstance(sent, Err):
            if sent.err_value is SendFailure.NOT_SENT:
                self._rotation.mark_down(entry)
                return None
            record = self._broken(key, entry, monotonic() - start)
        else:
            record = self._told(key, entry, body, sent.ok_value)
        record = replace(
            record, started_at=start, sent_sha256=sha256(body).hexdigest()
        )
        self._records.append(record)
        return record

    def _broken(
        self, key: str | None, entry: str, latency_s: float
    ) -> CallRecord:
        return CallRecord(
            self._service.name,
            key,
            entry,
            Outcome.UNKNOWN,
            None,
            None,
            latency_s,
        )

    def _told(
        self, key: str | None, entry: str, body: bytes, answer: TimedResponse
    ) -> CallRecord:
        return CallRecord(
            self._service.name,
            key,
            entry,
            self._outcome(answer),
            answer.headers.get("carawaystep-request-id"),
            answer.status,
            answer.latency_s,
            self._is_own_answer(body, answer),
            body=answer.body,
        )

    @staticmethod
    def _is_own_answer(body: bytes, answer: TimedResponse) -> bool:
        """Tell whether a stand-in worker's answer has our body's digest."""
        try:
            content = answer.json()
        except ValueError:
            return False
        digest = sha256(body).hexdigest()
        return isinstance(content, dict) and content.get("sha256") == digest

    @staticmethod
    def _outcome(answer: TimedResponse) -> Outcome | None:
        told = answer.headers.get("carawaystep-outcome")
        if told is not None:
            return Outcome(told)
        # A fault of the entry leaves the outcome open; any other response
        # without an outcome refused the call before it became a request.
        return Outcome.UNKNOWN if answer.status >= 500 else None
