"""Translation of pydantic validation errors into problems."""

from __future__ import annotations

import difflib
from typing import Any
from typing import TYPE_CHECKING

from carawaystep.validation.problem import Problem
from carawaystep.validation.schema_node import SchemaNode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pydantic import BaseModel
    from pydantic import ValidationError

    from carawaystep.validation.yaml_node import YamlNode

_MAX_SHOWN_CHARACTERS = 60


class ValidationErrorTranslator:
    """Turns the errors of pydantic into problems with positions.

    Details name the allowed keys or values and quote the description of the
    field from the JSON schema of the model.
    """

    def __init__(
        self, source: str, root: YamlNode, model: type[BaseModel]
    ) -> None:
        """Create a translator.

        :param source: file name to report in problems
        :param root: root node of the validated document
        :param model: model against which it was validated
        """
        schema = model.model_json_schema()
        self._source = source
        self._root = root
        self._schema = SchemaNode(schema, schema.get("$defs", {}))

    def translate(self, error: ValidationError) -> Iterator[Problem]:
        """Yield a problem for each error.

        Errors of nodes that the YAML reader already reported are left out.

        :param error: validation error of the document
        """
        for details in error.errors(include_url=False):
            problem = self._translate_error(details)
            if problem is not None:
                yield problem

    def _translate_error(self, details: Any) -> Problem | None:
        *parents, name = details["loc"] or (None,)
        node = self._root
        schema: SchemaNode | None = self._schema
        for key in parents:
            child = node.child(key)
            if child is None:
                break
            node = child
            schema = schema.child(key) if schema else None
            if node.has_problem:
                return None
        if details["type"] == "missing":
            return self._missing_key_problem(node, schema, str(name))
        child = node.child(name) if name is not None else None
        if child is not None and child.has_problem:
            return None
        if details["type"] == "extra_forbidden":
            return self._unknown_key_problem(child or node, schema, str(name))
        return self._wrong_value_problem(child or node, schema, name, details)

    def _missing_key_problem(
        self, node: YamlNode, schema: SchemaNode | None, name: str
    ) -> Problem:
        field = schema.child(name) if schema else None
        allowed = field.describe_allowed() if field else "given"
        detail = f'key "{name}" is missing; it must be {allowed}'
        return self._problem_at(
            node.position, detail + _format_description(field)
        )

    def _unknown_key_problem(
        self, node: YamlNode, schema: SchemaNode | None, name: str
    ) -> Problem:
        keys = schema.keys if schema else ()
        detail = f'unknown key "{_shorten(name)}"'
        if closest := difflib.get_close_matches(name, keys, 1):
            detail += f'; did you mean "{closest[0]}"?'
        detail += f" (allowed keys: {', '.join(keys)})"
        return self._problem_at(node.position, detail)

    def _wrong_value_problem(
        self,
        node: YamlNode,
        schema: SchemaNode | None,
        name: str | int | None,
        details: Any,
    ) -> Problem:
        subject = f"item {name + 1}" if isinstance(name, int) else f'"{name}"'
        if details["type"] == "value_error":
            error = details["ctx"]["error"]
            text = f"{subject} {error}" if name is not None else str(error)
            return self._problem_at(node.scalar_position, text)
        field = schema.child(name) if schema and name is not None else None
        allowed = field.describe_allowed() if field else details["msg"]
        detail = f"{subject} must be {allowed}, not {_describe_value(node)}"
        return self._problem_at(
            node.scalar_position, detail + _format_description(field)
        )

    def _problem_at(self, position: tuple[int, int], detail: str) -> Problem:
        return Problem(self._source, *position, detail)


def _format_description(field: SchemaNode | None) -> str:
    return f" ({field.description})" if field and field.description else ""


def _describe_value(node: YamlNode) -> str:
    if isinstance(node.value, dict):
        return "a mapping"
    if isinstance(node.value, list):
        return "a list"
    if node.value is None:
        return "empty"
    if isinstance(node.value, bool):
        return str(node.value).lower()
    if isinstance(node.value, str):
        return f'the text "{_shorten(node.value)}"'
    return _shorten(str(node.value))


def _shorten(text: str) -> str:
    # A problem must fit on one line, so line breaks are escaped.
    text = text.encode("unicode_escape").decode()
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "..."
