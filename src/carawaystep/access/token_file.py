"""Loading of the tokens file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError
from ruamel.yaml.error import YAMLError

from carawaystep.access.token_entry import TokenEntry
from carawaystep.access.token_table import TokenTable

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Any

    from result import Result

_ENTRIES = TypeAdapter(list[TokenEntry])


def load_tokens(path: Path) -> Result[TokenTable, str]:
    """Load the accepted tokens from a YAML list of tokens and their rights.

    Error messages give the position of a mistake but quote nothing from the
    file, because they are logged and the file contains secrets.

    :param path: the tokens file
    :returns: the tokens, or a message about the first mistake
    """
    try:
        content = YAML(typ="safe", pure=True).load(path)
    except (OSError, UnicodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        return Err(f"{path}: the file cannot be read: {reason}")
    except YAMLError as error:
        return Err(
            f"{path}{_format_position(error)}: invalid YAML; correct the file"
        )
    except (ValueError, TypeError, RecursionError):
        return Err(f"{path}: invalid YAML; correct the file")
    return _validate(path, content)


def _validate(path: Path, content: Any) -> Result[TokenTable, str]:
    try:
        entries = _ENTRIES.validate_python(content)
    except ValidationError as error:
        return Err(f"{path}: {_describe_first_error(error)}")
    if not entries:
        return Err(f"{path}: the file contains no token; add at least one")
    first_item: dict[str, int] = {}
    for number, entry in enumerate(entries, 1):
        if first_item.setdefault(entry.token, number) != number:
            return Err(
                f"{path}: item {number} repeats the token of item"
                f" {first_item[entry.token]}; use different tokens"
            )
    return Ok(TokenTable((entry.token, entry.to_grant()) for entry in entries))


def _format_position(error: YAMLError) -> str:
    mark = error.problem_mark if isinstance(error, MarkedYAMLError) else None
    return "" if mark is None else f":{mark.line + 1}:{mark.column + 1}"


def _describe_first_error(error: ValidationError) -> str:
    details = error.errors(
        include_input=False, include_url=False, include_context=False
    )[0]
    if not details["loc"]:
        return "the file must be a list of {token, team, roles} items"
    number = int(details["loc"][0]) + 1
    fields = [part for part in details["loc"][1:] if isinstance(part, str)]
    field = fields[0] if fields else ""
    if field not in TokenEntry.model_fields:
        return f"item {number}: use the keys token, team, roles and services"
    description = TokenEntry.model_fields[field].description
    return f"item {number}: {field} ({description}): {details['msg']}"
