"""Descriptions of allowed values, derived from a JSON schema."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_UNIT_BY_SUFFIX = {
    "_s": "seconds",
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_mb": "megabytes",
}


class SchemaNode:
    """The JSON schema of one value within the schema of a model."""

    def __init__(
        self,
        schema: Mapping[str, Any],
        definitions: Mapping[str, Any],
        name: str = "",
    ) -> None:
        """Create a node and resolve the reference of its schema.

        :param schema: JSON schema of the value
        :param definitions: schemas by name, the targets of references
        :param name: key of the value; its suffix tells the unit of a number
        """
        self._definitions = definitions
        self._name = name
        self._description = schema.get("description", "")
        self._schema = self._resolve(schema)

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the allowed keys of a mapping.

        Empty if any key is allowed or the value is not a mapping.
        """
        return tuple(self._schema.get("properties", {}))

    @property
    def description(self) -> str:
        """Return the description of the value, empty if it has none."""
        return str(self._description or self._schema.get("description", ""))

    def child(self, key: str | int) -> SchemaNode | None:
        """Return the schema of a key or list item, None if unknown."""
        if isinstance(key, int):
            found = self._schema.get("items")
        else:
            found = self._schema.get("properties", {}).get(key)
            found = found or self._schema.get("additionalProperties")
        if not isinstance(found, dict):
            return None
        return SchemaNode(found, self._definitions, str(key))

    def describe_allowed(self) -> str:
        """Describe the allowed values in a phrase that follows "must be"."""
        if choices := self._schema.get("enum"):
            return f"one of {', '.join(map(str, choices))}"
        if "const" in self._schema:
            return str(self._schema["const"])
        if options := self._schema.get("anyOf"):
            return " or ".join(
                self._describe_option(option) for option in options
            )
        kind = self._schema.get("type")
        if kind in {"integer", "number"}:
            return self._describe_number(str(kind))
        if kind == "string":
            return self._describe_text()
        if kind == "boolean":
            return "true or false"
        if kind == "array":
            min_items = self._schema.get("minItems")
            return f"a list of at least {min_items}" if min_items else "a list"
        if kind == "object":
            keys = ", ".join(self.keys)
            return f"a mapping with keys of {keys}" if keys else "a mapping"
        return "empty" if kind == "null" else "an allowed value"

    def _describe_option(self, option: Mapping[str, Any]) -> str:
        return SchemaNode(
            option, self._definitions, self._name
        ).describe_allowed()

    def _describe_number(self, kind: str) -> str:
        text = "a whole number" if kind == "integer" else "a number"
        for suffix, unit in _UNIT_BY_SUFFIX.items():
            if self._name.endswith(suffix):
                text += f" of {unit}"
        limits = [
            f"{words} {self._schema[key]:,}"
            for key, words in (
                ("minimum", "at least"),
                ("exclusiveMinimum", "more than"),
                ("maximum", "at most"),
                ("exclusiveMaximum", "less than"),
            )
            if key in self._schema
        ]
        return f"{text}, {' and '.join(limits)}" if limits else text

    def _describe_text(self) -> str:
        if self._schema.get("format") == "path":
            return "a file path"
        if pattern := self._schema.get("pattern"):
            return f"text that matches {pattern}"
        return "text"

    def _resolve(self, schema: Mapping[str, Any]) -> Mapping[str, Any]:
        while "$ref" in schema:
            name = schema["$ref"].rpartition("/")[2]
            schema = self._definitions[name]
        return schema
