"""HTTP API of the stand-in platform."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import Any
from typing import TYPE_CHECKING

from result import Err
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from carawaystep.standin.http.change_notifier import ChangeNotifier
from carawaystep.standin.http.fault_controller import FaultController
from carawaystep.standin.http.fault_middleware import FaultMiddleware
from carawaystep.standin.http.json_errors import EXCEPTION_HANDLERS
from carawaystep.standin.http.json_errors import json_error
from carawaystep.standin.platform.bodies import ChangesQuery
from carawaystep.standin.platform.bodies import TransactionBody
from carawaystep.standin.platform.bodies import VmPhaseBody
from carawaystep.store.table_failure import TableConflict

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import ASGIApp

    from carawaystep.standin.platform.standin_platform import StandinPlatform
    from carawaystep.store.row import Row
    from carawaystep.store.table_failure import TableFailure

_FAULT_EXEMPT_PREFIXES = ("/faults", "/stats", "/vms/")


class PlatformApplication:
    """Translates HTTP requests into calls to a ``StandinPlatform``."""

    def __init__(self, platform: StandinPlatform) -> None:
        """Create the application.

        :param platform: the stand-in platform
        """
        self._platform = platform
        self._fault_controller = FaultController(
            platform.faults, ChangeNotifier()
        )

    def create_asgi_app(self) -> ASGIApp:
        """Create the ASGI application with fault injection."""
        app = Starlette(
            routes=[
                Route("/v1/transactions", self._transact, methods=["POST"]),
                Route(
                    "/v1/tables/{table}/rows",
                    self._get_changes,
                    methods=["GET"],
                ),
                Route(
                    "/v1/tables/{table}/rows/{key:path}",
                    self._get_row,
                    methods=["GET"],
                ),
                Route(
                    "/v1/objects/{key:path}",
                    self._put_object,
                    methods=["PUT"],
                ),
                Route(
                    "/v1/objects/{key:path}",
                    self._get_object,
                    methods=["GET"],
                ),
                Route(
                    "/v1/objects/{key:path}",
                    self._delete_object,
                    methods=["DELETE"],
                ),
                Route("/v1/vms", self._get_vms, methods=["GET"]),
                Route("/vms/{name}", self._set_vm_phase, methods=["POST"]),
                Route(
                    "/faults",
                    self._fault_controller.replace_faults,
                    methods=["POST"],
                ),
                Route("/stats", self._get_stats, methods=["GET"]),
            ],
            exception_handlers=EXCEPTION_HANDLERS,
        )
        return FaultMiddleware(
            app, self._fault_controller, _FAULT_EXEMPT_PREFIXES, {}
        )

    async def _transact(self, request: Request) -> Response:
        body = TransactionBody.model_validate_json(await request.body())
        operations = [
            operation.to_operation() for operation in body.operations
        ]
        outcome = self._platform.transact(operations, _now())
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        commit = outcome.ok_value
        return JSONResponse(
            {"revision": commit.revision, "versions": list(commit.versions)}
        )

    async def _get_row(self, request: Request) -> Response:
        table, key = request.path_params["table"], request.path_params["key"]
        outcome = self._platform.get_row(table, key, _now())
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        row = outcome.ok_value
        if row is None:
            return json_error(404, "not_found", f"no row {table}/{key}")
        return JSONResponse(
            {
                "value": row.value,
                "version": row.version,
                "revision": row.revision,
            }
        )

    async def _get_changes(self, request: Request) -> Response:
        query = ChangesQuery.model_validate(
            {
                **request.query_params,
                "prefix": request.query_params.getlist("prefix"),
            }
        )
        outcome = self._platform.changes(
            request.path_params["table"], query.since, query.prefix, _now()
        )
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        page = outcome.ok_value
        return JSONResponse(
            {
                "rows": [_row_json(row) for row in page.rows],
                "revision": page.revision,
                "more": page.more,
            }
        )

    async def _put_object(self, request: Request) -> Response:
        outcome = self._platform.put_object(
            request.path_params["key"], await request.body(), _now()
        )
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        return JSONResponse({})

    async def _get_object(self, request: Request) -> Response:
        key = request.path_params["key"]
        outcome = self._platform.get_object(key, _now())
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        if outcome.ok_value is None:
            return json_error(404, "not_found", f"no object {key}")
        return Response(
            outcome.ok_value, media_type="application/octet-stream"
        )

    async def _delete_object(self, request: Request) -> Response:
        key = request.path_params["key"]
        outcome = self._platform.delete_object(key, _now())
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        if not outcome.ok_value:
            return json_error(404, "not_found", f"no object {key}")
        return JSONResponse({})

    async def _get_vms(self, request: Request) -> Response:
        outcome = self._platform.vms(_now())
        if isinstance(outcome, Err):
            return _failure_response(outcome.err_value)
        return JSONResponse({"vms": [asdict(vm) for vm in outcome.ok_value]})

    async def _set_vm_phase(self, request: Request) -> Response:
        body = VmPhaseBody.model_validate_json(await request.body())
        name = request.path_params["name"]
        if not self._platform.set_vm_phase(name, body.state, _now()):
            return json_error(404, "not_found", f"no VM {name}")
        return JSONResponse({})

    async def _get_stats(self, request: Request) -> Response:
        counts = self._platform.counts
        refused = counts.refused + self._platform.faults.refused_calls
        return JSONResponse(
            {
                "reads": counts.reads,
                "writes": counts.writes,
                "conflicts": counts.conflicts,
                "refused": refused,
            }
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _row_json(row: Row) -> dict[str, Any]:
    return {
        "key": row.key,
        "value": row.value,
        "version": row.version,
        "revision": row.revision,
    }


def _failure_response(failure: TableFailure) -> Response:
    if not isinstance(failure, TableConflict):
        return json_error(429, "rate_exceeded", failure.detail)
    return JSONResponse(
        {
            "conflicts": [
                {"table": table, "key": key, "version": version}
                for (table, key), version in failure.versions.items()
            ]
        },
        status_code=409,
    )
