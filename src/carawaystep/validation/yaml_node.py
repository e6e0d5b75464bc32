"""A value in a YAML file with its position."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any


@dataclass(slots=True)
class YamlNode:
    """A scalar, a list or a mapping.

    :param line: line number of the value, starting at 1
    :param column: column number of the value, starting at 1
    :param value: scalar, list of nodes or dict of nodes by key
    :param key_position: line and column of its key, None for a list item and
        the root
    :param has_problem: whether a problem of the value was already reported
    """

    line: int
    column: int
    value: Any = None
    key_position: tuple[int, int] | None = None
    has_problem: bool = field(default=False, kw_only=True)

    @property
    def position(self) -> tuple[int, int]:
        """Return line and column of the key, or of the value without a key."""
        return self.key_position or (self.line, self.column)

    @property
    def scalar_position(self) -> tuple[int, int]:
        """Return line and column of a scalar value, otherwise of its key.

        An empty value counts as no scalar, because the parser puts it at the
        next token, often on another line.
        """
        if self.value is None or isinstance(self.value, list | dict):
            return self.position
        return (self.line, self.column)

    def to_python(self) -> Any:
        """Return the value as plain Python objects."""
        if isinstance(self.value, dict):
            return {key: node.to_python() for key, node in self.value.items()}
        if isinstance(self.value, list):
            return [node.to_python() for node in self.value]
        return self.value

    def child(self, key: str | int) -> YamlNode | None:
        """Return the node of a key or list index, None if there is none."""
        if isinstance(self.value, dict):
            return self.value.get(key)
        if isinstance(self.value, list) and isinstance(key, int):
            return self.value[key] if key < len(self.value) else None
        return None
