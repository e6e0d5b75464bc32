"""Reading the tokens file."""

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
    """Read a YAML list of tokens.

    Error messages name the place of a mistake but quote nothing from the
    file, because they go to the log and the file holds secrets.

    :param path: the file
    """
    try:
        content = YAML(typ="safe", pure=True).load(path)
    except (OSError, UnicodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        return Err(f"{path}: cannot be read: {reason}")
    except YAMLError as error:
        return Err(f"{path}{_place(error)}: not valid YAML; correct the file")
    except (ValueError, TypeError, RecursionError):
        return Err(f"{path}: not valid YAML; correct the file")
    return _validate(path, content)


def _validate(path: Path, content: Any) -> Result[TokenTable, str]:
    try:
        entries = _ENTRIES.validate_python(content)
    except ValidationError as error:
        return Err(f"{path}: {_first_problem(error)}")
    if not entries:
        return Err(f"{path}: holds no token; add at least one")
    first_use: dict[str, int] = {}
    for number, entry in enumerate(entries, 1):
        if first_use.setdefault(entry.token, number) != number:
            return Err(
                f"{path}: entry {number} repeats the token of entry"
                f" {first_use[entry.token]}; give each entry its own"
            )
    return Ok(TokenTable((entry.token, entry.grant()) for entry in entries))


def _place(error: YAMLError) -> str:
    mark = error.problem_mark if isinstance(error, MarkedYAMLError) else None
    return "" if mark is None else f":{mark.line + 1}:{mark.column + 1}"


def _first_problem(error: ValidationError) -> str:
    problem = error.errors(
        include_input=False, include_url=False, include_context=False
    )[0]
    if not problem["loc"]:
        return "must be a list of {token, team, roles} entries"
    number = int(problem["loc"][0]) + 1
    fields = [part for part in problem["loc"][1:] if isinstance(part, str)]
    field = fields[0] if fields else ""
    if field not in TokenEntry.model_fields:
        return f"entry {number}: use the keys token, team, roles and services"
    about = TokenEntry.model_fields[field].description
    return f"entry {number}: {field} ({about}): {problem['msg']}"
