"""Validation of JSON bodies of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ValidationError
from result import Err
from result import Ok

if TYPE_CHECKING:
    from result import Result

    from carawaystep.adapters.http_client.http_response import HttpResponse

Body = TypeVar("Body", bound=BaseModel)


def parse_json_body(
    model: type[Body], response: HttpResponse, sender: str
) -> Result[Body, str]:
    """Validate the body of a response.

    :param model: model of the body
    :param response: response with a JSON body
    :param sender: name of the other side, for the error message
    :returns: the body, or a message that names the first invalid field
    """
    try:
        return Ok(model.model_validate_json(response.body))
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        return Err(
            f"malformed {model.__name__} from the {sender}:"
            f" {location or 'body'}: {first['msg']}"
        )
