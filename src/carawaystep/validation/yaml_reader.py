"""Parsing of YAML text into nodes with positions."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError
from ruamel.yaml.events import AliasEvent
from ruamel.yaml.events import DocumentStartEvent
from ruamel.yaml.events import MappingEndEvent
from ruamel.yaml.events import MappingStartEvent
from ruamel.yaml.events import NodeEvent
from ruamel.yaml.events import ScalarEvent
from ruamel.yaml.events import SequenceEndEvent
from ruamel.yaml.events import SequenceStartEvent
from ruamel.yaml.nodes import ScalarNode
from ruamel.yaml.reader import ReaderError

from carawaystep.validation.problem import Problem
from carawaystep.validation.yaml_node import YamlNode

if TYPE_CHECKING:
    from collections.abc import Iterator

# The scanner's cost per token grows with the nesting depth.
_MAX_DEPTH = 16

_SCALAR_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}"
    for name in ("null", "bool", "int", "float", "str")
)


class YamlReader:
    """Parses a restricted form of YAML and collects its problems.

    Aliases, tags, directives and duplicate keys are rejected. Nodes are built
    from parser events, so that aliases are never expanded: a short text with
    nested aliases could otherwise exhaust the memory.
    """

    def __init__(self, source: str) -> None:
        """Create a reader for one text.

        :param source: file name to report in problems
        """
        self._source = source
        # A directive in the text changes the state of the parser, so each
        # text has its own.
        self._yaml = YAML(typ="safe", pure=True)
        self._problems: list[Problem] = []
        self._events: Iterator[Any] = iter(())

    @property
    def problems(self) -> tuple[Problem, ...]:
        """Return the problems found so far."""
        return tuple(self._problems)

    def read(self, text: str) -> YamlNode | None:
        """Parse a text that contains one YAML document.

        :param text: YAML text
        :returns: the root node, None if the text is empty or not valid YAML
        """
        try:
            return self._read_document(text)
        except MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            context = f" {error.context}" if error.context else ""
            detail = f"not valid YAML: {error.problem}{context}"
            self._report_at_mark(mark, detail)
        except ReaderError as error:
            self._report_invalid_character(text, error.position)
        return None

    def _read_document(self, text: str) -> YamlNode | None:
        self._events = iter(self._yaml.parse(text))
        next(self._events)
        start = next(self._events)
        if not isinstance(start, DocumentStartEvent):
            return None
        if start.version is not None or start.tags:
            self._report_at_mark(
                start.start_mark,
                "YAML directives are not supported; remove the lines that "
                "start with %",
            )
        root = self._read_node(next(self._events), 0)
        next(self._events)
        following = next(self._events)
        if isinstance(following, DocumentStartEvent):
            self._report_at_mark(
                following.start_mark,
                "the file has more than one YAML document; keep one and "
                "remove the line ---",
            )
        return root

    def _read_node(self, event: Any, depth: int) -> YamlNode:
        mark = event.start_mark
        node = YamlNode(mark.line + 1, mark.column + 1)
        if isinstance(event, AliasEvent):
            self._reject(
                node,
                f"aliases such as *{event.anchor} are not supported; repeat "
                "the value",
            )
            return node
        if depth > _MAX_DEPTH:
            raise MarkedYAMLError(
                problem=f"values are nested deeper than {_MAX_DEPTH} levels",
                problem_mark=mark,
            )
        self._check_tag(event, node)
        if isinstance(event, ScalarEvent):
            self._read_scalar(event, node)
        elif isinstance(event, SequenceStartEvent):
            self._read_list(node, depth)
        elif isinstance(event, MappingStartEvent):
            self._read_mapping(node, depth)
        return node

    def _check_tag(self, event: NodeEvent, node: YamlNode) -> None:
        tag = getattr(event, "tag", None)
        if tag is not None and str(tag) != "!":
            self._reject(
                node, "tags that start with ! are not supported; remove it"
            )

    def _read_list(self, node: YamlNode, depth: int) -> None:
        node.value = []
        while not isinstance(event := next(self._events), SequenceEndEvent):
            node.value.append(self._read_node(event, depth + 1))

    def _read_mapping(self, node: YamlNode, depth: int) -> None:
        node.value = {}
        while not isinstance(event := next(self._events), MappingEndEvent):
            key = self._read_node(event, depth + 1)
            value = self._read_node(next(self._events), depth + 1)
            self._add_entry(node.value, key, value)

    def _add_entry(
        self, mapping: dict[str, YamlNode], key: YamlNode, value: YamlNode
    ) -> None:
        if key.has_problem:
            return
        if not isinstance(key.value, str):
            self._reject(key, "keys must be text; put this key in quotes")
            return
        if key.value in mapping:
            first = mapping[key.value].position
            self._reject(
                key,
                f'key "{key.value}" is given twice, first on line '
                f"{first[0]}; remove one of them",
            )
            return
        value.key_position = (key.line, key.column)
        mapping[key.value] = value

    def _read_scalar(self, event: ScalarEvent, node: YamlNode) -> None:
        if node.has_problem:
            return
        tag = self._yaml.resolver.resolve(
            ScalarNode, event.value, event.implicit
        )
        if str(tag) not in _SCALAR_TAGS:
            # Dates, "<<" and "=" are read as text.
            node.value = event.value
            return
        if not _can_be_encoded(event.value):
            self._reject(
                node, "the text contains half of a surrogate pair; remove it"
            )
            return
        scalar = ScalarNode(tag, event.value, event.start_mark, event.end_mark)
        try:
            node.value = self._yaml.constructor.construct_object(scalar)
        except ValueError:
            self._reject(node, "the number cannot be read; shorten it")
            return
        if isinstance(node.value, float) and not math.isfinite(node.value):
            self._reject(
                node,
                f"{event.value} is not a finite number; write a finite one",
            )

    def _reject(self, node: YamlNode, detail: str) -> None:
        node.has_problem = True
        self._problems.append(
            Problem(self._source, node.line, node.column, detail)
        )

    def _report_at_mark(self, mark: Any, detail: str) -> None:
        line = mark.line + 1 if mark else 1
        column = mark.column + 1 if mark else 1
        self._problems.append(Problem(self._source, line, column, detail))

    def _report_invalid_character(self, text: str, position: int) -> None:
        preceding = text[:position]
        line = preceding.count("\n") + 1
        column = position - (preceding.rfind("\n") + 1) + 1
        self._problems.append(
            Problem(
                self._source,
                line,
                column,
                f"character U+{ord(text[position]):04X} is not allowed in "
                "YAML; remove it",
            )
        )


def _can_be_encoded(text: str) -> bool:
    # The parser accepts an escape such as "\ud800", but the result cannot
    # be encoded as UTF-8.
    return not any("\ud800" <= character <= "\udfff" for character in text)
