"""Handlers of jobs of batch services."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from pydantic import ValidationError
from result import Err
from result import Ok
from starlette.routing import Route

from carawaystep.access.role import Role
from carawaystep.adapters.http.body_reader import read_body
from carawaystep.adapters.http.call_headers import check_content_headers
from carawaystep.adapters.http.call_headers import parse_idempotency_key
from carawaystep.adapters.http.handler_context import CALL_TIMEOUT_S
from carawaystep.adapters.http.http_error import HttpError
from carawaystep.adapters.http.job_submission import JobSubmission
from carawaystep.adapters.http.job_view import JobView
from carawaystep.adapters.http.replies import error_reply
from carawaystep.adapters.http.replies import model_reply
from carawaystep.adapters.http.service_checks import find_service_spec
from carawaystep.adapters.http.statuses import to_http_error
from carawaystep.adapters.http.submitted_job_view import SubmittedJobView
from carawaystep.document.service_kind import ServiceKind
from carawaystep.entry.job_call import JobCall

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request
    from starlette.responses import Response

    from carawaystep.access.grant import Grant
    from carawaystep.adapters.http.handler_context import HandlerContext
    from carawaystep.job.job import Job

_MAX_BODY_BYTES = 256 * 1024
_JOB_ID_PATTERN = re.compile(r"[0-9a-f]{2}-[0-9a-f]{30}")


class JobHandlers:
    """Serves ``/v1/services/{service}/jobs`` and ``/v1/jobs/{id}``."""

    def __init__(self, context: HandlerContext) -> None:
        """Create the handlers.

        :param context: dependencies of the handlers
        """
        self._context = context

    def routes(self) -> list[Route]:
        """Return the routes."""
        submit_path = "/v1/services/{service}/jobs"
        return [
            Route(submit_path, self.post, methods=["POST"]),
            Route(
                "/v1/jobs/{id}",
                self.get_or_cancel_job,
                methods=["GET", "DELETE"],
            ),
        ]

    async def post(self, request: Request) -> Response:
        """Submit a job."""
        call = await self._read_submission(request)
        if isinstance(call, Err):
            return error_reply(call.err_value)
        result = await self._context.runner.run(
            self._context.service.submit_job(call.ok_value), CALL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return error_reply(result.err_value)
        if isinstance(result.ok_value, Err):
            return error_reply(to_http_error(result.ok_value.err_value))
        job = result.ok_value.ok_value
        self._context.metrics.job_accepted(job.service)
        return model_reply(SubmittedJobView(id=job.id, state=job.state), 202)

    async def get_or_cancel_job(self, request: Request) -> Response:
        """Return or cancel a job."""
        grant = self._context.authenticator.authorize(
            request, Role.CALLER, Role.OPERATOR
        )
        if isinstance(grant, Err):
            return error_reply(grant.err_value)
        job_id = request.path_params["id"]
        if request.method != "DELETE":
            return _encode_job(await self._find(job_id, grant.ok_value))
        return _encode_job(await self._cancel(job_id, grant.ok_value), 202)

    async def _find(self, job_id: str, grant: Grant) -> Result[Job, HttpError]:
        if not _JOB_ID_PATTERN.fullmatch(job_id):
            return Err(_unknown_job())
        result = await self._context.runner.run(
            self._context.service.find_job(job_id), CALL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return result
        if isinstance(result.ok_value, Err):
            return Err(to_http_error(result.ok_value.err_value))
        job = result.ok_value.ok_value
        return (
            Ok(job)
            if grant.covers_service(job.service)
            else Err(_unknown_job())
        )

    async def _cancel(
        self, job_id: str, grant: Grant
    ) -> Result[Job, HttpError]:
        found = await self._find(job_id, grant)
        if isinstance(found, Err):
            return found
        result = await self._context.runner.run(
            self._context.service.cancel_job(job_id), CALL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return result
        return result.ok_value.map_err(to_http_error)

    async def _read_submission(
        self, request: Request
    ) -> Result[JobCall, HttpError]:
        context = self._context
        name = request.path_params["service"]
        grant = context.authenticator.authorize(
            request, Role.CALLER, service=name
        )
        if isinstance(grant, Err):
            return grant
        spec = find_service_spec(context.service, name, ServiceKind.BATCH)
        if isinstance(spec, Err):
            return spec
        key = parse_idempotency_key(request, required=False)
        if isinstance(key, Err):
            return key
        error = check_content_headers(request, ("application/json",))
        if error is not None:
            return Err(error)
        body = await read_body(
            request, _MAX_BODY_BYTES, context.settings.requests.body_timeout_s
        )
        if isinstance(body, Err):
            return body
        return _parse_submission(name, key.ok_value, body.ok_value)


def _parse_submission(
    service: str, key: str | None, body: bytes
) -> Result[JobCall, HttpError]:
    try:
        submission = JobSubmission.model_validate_json(body)
    except ValidationError as error:
        return Err(_invalid_submission(error))
    try:
        text = submission.input_text()
    except (ValueError, RecursionError):
        detail = "input has a number or a nesting depth that JSON cannot store"
        return Err(HttpError(400, "invalid", f"{detail}; send plain JSON"))
    return Ok(JobCall(service, key, text, submission.due_s, submission.run_s))


def _invalid_submission(error: ValidationError) -> HttpError:
    problem = error.errors(
        include_input=False, include_url=False, include_context=False
    )[0]
    location = ".".join(str(part) for part in problem["loc"]) or "body"
    return HttpError(
        400,
        "invalid",
        f"{location}: {problem['msg']}; send a JSON object with input and, if"
        " needed, due_s and run_s",
    )


def _encode_job(job: Result[Job, HttpError], status: int = 200) -> Response:
    if isinstance(job, Err):
        return error_reply(job.err_value)
    return model_reply(JobView.from_job(job.ok_value), status)


def _unknown_job() -> HttpError:
    return HttpError(
        404, "not-found", "this job does not exist; check the id and the token"
    )
