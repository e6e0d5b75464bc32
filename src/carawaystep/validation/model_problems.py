"""Problems of a document that does not fit its model."""

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

_SHOWN_CHARACTERS = 60


class ModelProblems:
    """Translates the errors of pydantic into sentences with places."""

    def __init__(
        self, source: str, root: YamlNode, model: type[BaseModel]
    ) -> None:
        """Create a translator.

        :param source: file name for problems
        :param root: what was validated
        :param model: what it was validated against
        """
        schema = model.model_json_schema()
        self._source = source
        self._root = root
        self._schema = SchemaNode(schema, schema.get("$defs", {}))

    def collect(self, error: ValidationError) -> Iterator[Problem]:
        """Return a problem for each error that is not reported yet."""
        for details in error.errors(include_url=False):
            problem = self._problem(details)
            if problem is not None:
                yield problem

    def _problem(self, details: Any) -> Problem | None:
        *parents, name = details["loc"] or (None,)
        node = self._root
        schema: SchemaNode | None = self._schema
        for key in parents:
            child = node.child(key)
            if child is None:
                break
            node = child
            schema = schema.child(key) if schema else None
            if node.faulty:
                return None
        if details["type"] == "missing":
            return self._missing(node, schema, str(name))
        child = node.child(name) if name is not None else None
        if child is not None and child.faulty:
            return None
        if details["type"] == "extra_forbidden":
            return self._unknown(child or node, schema, str(name))
        return self._wrong(child or node, schema, name, details)

    def _missing(
        self, node: YamlNode, schema: SchemaNode | None, name: str
    ) -> Problem:
        field = schema.child(name) if schema else None
        allowed = field.allowed() if field else "given"
        detail = f'key "{name}" is missing; it must be {allowed}'
        return self._at(node.place, detail + _purpose(field))

    def _unknown(
        self, node: YamlNode, schema: SchemaNode | None, name: str
    ) -> Problem:
        keys = schema.keys if schema else ()
        detail = f'unknown key "{_shorten(name)}"'
        if closest := difflib.get_close_matches(name, keys, 1):
            detail += f'; did you mean "{closest[0]}"?'
        detail += f" (allowed keys: {', '.join(keys)})"
        return self._at(node.place, detail)

    def _wrong(
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
            return self._at(node.scalar_place, text)
        field = schema.child(name) if schema and name is not None else None
        allowed = field.allowed() if field else details["msg"]
        detail = f"{subject} must be {allowed}, not {_shown(node)}"
        return self._at(node.scalar_place, detail + _purpose(field))

    def _at(self, place: tuple[int, int], detail: str) -> Problem:
        return Problem(self._source, *place, detail)


def _purpose(field: SchemaNode | None) -> str:
    return f" ({field.purpose})" if field and field.purpose else ""


def _shown(node: YamlNode) -> str:
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
    # One problem is one line, whatever the file contains.
    text = text.encode("unicode_escape").decode()
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return text[:_SHOWN_CHARACTERS] + "..."
