"""A value of a YAML file with its place."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any


@dataclass(slots=True)
class YamlNode:
    """A scalar, a list or a mapping.

    :param line: line of the value, from 1
    :param column: column of the value, from 1
    :param value: scalar, list of nodes or dict of nodes by key
    :param key_place: line and column of its key, None for items and the top
    :param faulty: whether a problem was already reported for the value
    """

    line: int
    column: int
    value: Any = None
    key_place: tuple[int, int] | None = None
    faulty: bool = field(default=False, kw_only=True)

    @property
    def place(self) -> tuple[int, int]:
        """Return the place of the key, of the value when it has none."""
        return self.key_place or (self.line, self.column)

    @property
    def scalar_place(self) -> tuple[int, int]:
        """Return the place of a scalar, of the key for any other value.

        The parser places an empty value at the next token, often on another
        line.
        """
        if self.value is None or isinstance(self.value, list | dict):
            return self.place
        return (self.line, self.column)

    def plain(self) -> Any:
        """Return the value without places."""
        if isinstance(self.value, dict):
            return {key: node.plain() for key, node in self.value.items()}
        if isinstance(self.value, list):
            return [node.plain() for node in self.value]
        return self.value

    def child(self, key: str | int) -> YamlNode | None:
        """Return the node under a key or index, None when there is none."""
        if isinstance(self.value, dict):
            return self.value.get(key)
        if isinstance(self.value, list) and isinstance(key, int):
            return self.value[key] if key < len(self.value) else None
        return None
