"""Load generator for a latency-critical service."""

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

# Time that an entry has after the deadline to send its response.
_RESPONSE_MARGIN_S = 5.0
_MAX_SEND_ATTEMPTS = 3


class LoadGenerator:
    """Sends requests through all entries, with one task for each caller.

    When a connection breaks, the outcome is unknown. The caller sends an
    idempotent request again through another entry, and a non-idempotent one
    only when the plan asks for it, with the same key.
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
        :param plan: amount of load
        :param rotation: selects the entries of each request
        :param caller: sends the calls
        :param token: token with the role caller
        """
        self._service = service
        self._plan = plan
        self._rotation = rotation
        self._caller = caller
        self._token = token
        self._run_id = token_hex(4)
        self._request_count = 0
        self._records: list[CallRecord] = []

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """Return the records of all calls so far."""
        return tuple(self._records)

    async def run(self) -> None:
        """Send requests until the limits of the plan are reached."""
        until = monotonic() + self._plan.duration_s
        async with asyncio.TaskGroup() as group:
            for _ in range(self._plan.callers):
                group.create_task(self._run_caller(until))

    async def _run_caller(self, until: float) -> None:
        while (
            monotonic() < until
            and self._request_count < self._plan.max_requests
        ):
            self._request_count += 1
            await self._send_request(self._request_count)
            await asyncio.sleep(self._plan.pause_s)

    async def _send_request(self, number: int) -> None:
        if self._service.idempotent:
            await self._send_until_response(number)
            return
        key = f"{self._service.name}-{self._run_id}-{number}"
        duplicate_number, remainder = divmod(number, self._plan.repeat_every)
        entries = self._rotation.next_urls(2 if remainder == 0 else 1)
        calls = [self._send(number, key, entry) for entry in entries]
        # Every second duplicate is sent after the first response, the others
        # at the same time, to test the stored answer and the race for the key.
        if duplicate_number % 2 == 0:
            records = [await call for call in calls]
        else:
            records = list(await asyncio.gather(*calls))
        answered = any(
            record is not None and record.outcome is Outcome.ANSWERED
            for record in records
        )
        if answered or self._plan.resend_after_s is None:
            return
        await asyncio.sleep(self._plan.resend_after_s)
        for entry in self._rotation.next_urls():
            await self._send(number, key, entry)

    async def _send_until_response(self, number: int) -> None:
        for _ in range(_MAX_SEND_ATTEMPTS):
            for entry in self._rotation.next_urls():
                record = await self._send(number, None, entry)
                if record is not None and record.status is not None:
                    return

    async def _send(
        self, number: int, key: str | None, entry: str
    ) -> CallRecord | None:
        """Send one call and record it.

        :returns: the record, None when the call was not sent
        """
        headers = {"Authorization": f"Bearer {self._token}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        body = json.dumps({"number": number, "run": self._run_id}).encode()
        start = monotonic()
        result = await self._caller.post(
            f"{entry}/v1/services/{self._service.name}/requests",
            headers,
            body,
            self._service.deadline_s + _RESPONSE_MARGIN_S,
        )
        if isinstance(result, Err):
            if result.err_value is SendFailure.NOT_SENT:
                self._rotation.mark_down(entry)
                return None
            record = self._record_without_response(
                key, entry, monotonic() - start
            )
        else:
            record = self._record_of_response(
                key, entry, body, result.ok_value
            )
        record = replace(
            record, started_at=start, sent_sha256=sha256(body).hexdigest()
        )
        self._records.append(record)
        return record

    def _record_without_response(
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

    def _record_of_response(
        self, key: str | None, entry: str, body: bytes, response: TimedResponse
    ) -> CallRecord:
        return CallRecord(
            self._service.name,
            key,
            entry,
            self._parse_outcome(response),
            response.headers.get("carawaystep-request-id"),
            response.status,
            response.latency_s,
            self._matches_request(body, response),
            body=response.body,
        )

    @staticmethod
    def _matches_request(body: bytes, response: TimedResponse) -> bool:
        """Tell whether the response holds the digest of the body sent."""
        try:
            content = response.json()
        except ValueError:
            return False
        digest = sha256(body).hexdigest()
        return isinstance(content, dict) and content.get("sha256") == digest

    @staticmethod
    def _parse_outcome(response: TimedResponse) -> Outcome | None:
        outcome = response.headers.get("carawaystep-outcome")
        if outcome is not None:
            return Outcome(outcome)
        # A server error leaves the outcome unknown. Any other response without
        # an outcome rejects the call before it becomes a request.
        return Outcome.UNKNOWN if response.status >= 500 else None
