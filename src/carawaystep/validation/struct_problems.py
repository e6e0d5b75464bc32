"""All problems of a value that does not conform to a msgspec model.

The decoder stops at the first problem. An operator who corrects a file wants
to know all of them at once.
"""

from __future__ import annotations

import json
import operator
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from msgspec import inspect

from carawaystep.validation.field_problem import FieldProblem
from carawaystep.validation.field_problem import FieldProblemKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

_MAX_SHOWN_CHARACTERS = 60
_KINDS: dict[type[inspect.Type], tuple[tuple[type, ...], str]] = {
    inspect.IntType: ((int,), "a whole number"),
    inspect.FloatType: ((int, float), "a number"),
    inspect.StrType: ((str,), "text"),
    inspect.BoolType: ((bool,), "true or false"),
}


class StructProblems:
    """Compares values with a model of structs, lists and plain fields."""

    def __init__(self, model: type[msgspec.Struct]) -> None:
        """Inspect the model.

        :param model: struct that a valid value converts to
        """
        self._model = model
        self._type = inspect.type_info(model)

    def find(self, value: Any) -> tuple[FieldProblem, ...]:
        """Return the problems in the order of the model, none if it is valid.

        :param value: value that was decoded without a model
        """
        try:
            msgspec.convert(value, self._model)
        except (msgspec.ValidationError, OverflowError, ValueError) as error:
            problems = tuple(_walk(value, self._type, ""))
            return problems or (
                FieldProblem(FieldProblemKind.WRONG_TYPE, "", str(error)),
            )
        return ()


def _walk(
    value: Any, expected: inspect.Type, path: str
) -> Iterator[FieldProblem]:
    if isinstance(expected, inspect.UnionType):
        if value is None and expected.includes_none:
            return
        options = [
            option
            for option in expected.types
            if not isinstance(option, inspect.NoneType)
        ]
        yield from _walk(value, options[0], path)
    elif isinstance(expected, inspect.StructType):
        yield from _walk_struct(value, expected, path)
    elif isinstance(expected, inspect.ListType):
        if not isinstance(value, list):
            yield _wrong_type(value, "a list", path)
            return
        for position, item in enumerate(value):
            yield from _walk(item, expected.item_type, f"{path}[{position}]")
    elif type(expected) in _KINDS:
        yield from _check_plain(value, expected, path)


def _walk_struct(
    value: Any, expected: inspect.StructType, path: str
) -> Iterator[FieldProblem]:
    if not isinstance(value, dict):
        yield _wrong_type(value, "an object", path)
        return
    for field in expected.fields:
        inner = f"{path}.{field.encode_name}" if path else field.encode_name
        if field.encode_name in value:
            yield from _walk(value[field.encode_name], field.type, inner)
        elif field.required:
            yield FieldProblem(
                FieldProblemKind.MISSING,
                inner,
                f"the field is missing; it must be {_describe(field.type)}",
            )


def _check_plain(
    value: Any, expected: inspect.Type, path: str
) -> Iterator[FieldProblem]:
    classes, _ = _KINDS[type(expected)]
    is_bool = isinstance(value, bool)
    if not isinstance(value, classes) or is_bool != (classes == (bool,)):
        yield _wrong_type(value, _describe(expected), path)
    elif not all(holds(value, bound) for _, holds, bound in _bounds(expected)):
        yield FieldProblem(
            FieldProblemKind.OUT_OF_RANGE,
            path,
            f"{_shown(value)} is out of range; it must be"
            f" {_describe(expected)}",
        )


def _wrong_type(value: Any, allowed: str, path: str) -> FieldProblem:
    return FieldProblem(
        FieldProblemKind.WRONG_TYPE,
        path,
        f"{_shown(value)} is not allowed; it must be {allowed}",
    )


def _describe(expected: inspect.Type) -> str:
    if isinstance(expected, inspect.ListType):
        return "a list"
    if type(expected) not in _KINDS:
        return "an object"
    text = _KINDS[type(expected)][1]
    limits = [f"{words} {bound:,}" for words, _, bound in _bounds(expected)]
    return f"{text}, {' and '.join(limits)}" if limits else text


def _bounds(
    expected: inspect.Type,
) -> list[tuple[str, Callable[[Any, Any], bool], float]]:
    """Return the bounds of a number, each with its comparison."""
    if not isinstance(expected, inspect.IntType | inspect.FloatType):
        return []
    bounds = (
        ("at least", operator.ge, expected.ge),
        ("more than", operator.gt, expected.gt),
        ("at most", operator.le, expected.le),
        ("less than", operator.lt, expected.lt),
    )
    return [
        (words, holds, bound)
        for words, holds, bound in bounds
        if bound is not None
    ]


def _shown(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = json.dumps(value)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "..."
