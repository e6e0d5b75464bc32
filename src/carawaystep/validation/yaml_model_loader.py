"""Loading of YAML text and settings files into pydantic models."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from carawaystep.validation.problem import Problem
from carawaystep.validation.text_file import read_text_file
from carawaystep.validation.validation_error_translator import (
    ValidationErrorTranslator,
)
from carawaystep.validation.yaml_reader import YamlReader

if TYPE_CHECKING:
    from pathlib import Path

M = TypeVar("M", bound=BaseModel)

MAX_TEXT_BYTES = 256 * 1024


def load_yaml_model(
    text: str,
    source: str,
    model: type[M],
    max_bytes: int = MAX_TEXT_BYTES,
) -> Result[M, tuple[Problem, ...]]:
    """Validate YAML text against a model.

    :param text: YAML text with one document
    :param source: file name to report in problems
    :param model: model of the document
    :param max_bytes: largest allowed size of the text in UTF-8
    :returns: the model, or all problems in the order of their positions
    """
    if len(text.encode(errors="surrogatepass")) > max_bytes:
        return _single_problem(
            source,
            f"the file is larger than {max_bytes:,} bytes; shorten it",
        )
    reader = YamlReader(source)
    root = reader.read(text)
    problems = list(reader.problems)
    if root is None or root.value is None:
        if not problems:
            return _single_problem(
                source, "the file is empty; write a mapping"
            )
        return Err(tuple(problems))
    if not isinstance(root.value, dict):
        if not root.has_problem:
            detail = "the top level must be a mapping of keys to values"
            problems.append(Problem(source, root.line, root.column, detail))
        return Err(tuple(problems))
    try:
        # In JSON mode, strict validation accepts paths and enum values as
        # strings.
        loaded = model.model_validate_json(
            json.dumps(root.to_python()), strict=True
        )
    except ValidationError as error:
        problems += ValidationErrorTranslator(source, root, model).translate(
            error
        )
    else:
        if not problems:
            return Ok(loaded)
    problems.sort(key=lambda problem: (problem.line, problem.column))
    return Err(tuple(problems))


def load_settings_file(
    path: Path, model: type[M]
) -> Result[M, tuple[Problem, ...]]:
    """Load and validate a settings file.

    :param path: the file
    :param model: model of the settings
    :returns: the settings, or all problems, such as an unreadable file
    """
    text = read_text_file(path, MAX_TEXT_BYTES)
    if isinstance(text, Err):
        return text
    return load_yaml_model(text.ok_value, str(path), model)


def _single_problem(source: str, detail: str) -> Err[tuple[Problem, ...]]:
    return Err((Problem(source, 1, 1, detail),))
