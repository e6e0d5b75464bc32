"""Markdown page with generated blocks."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class CapacityPage:
    """Page with blocks between ``<!-- NAME -->`` and ``<!-- end -->``.

    Only the blocks are generated; the text around them is written by hand.
    """

    def __init__(self, text: str) -> None:
        """Create a page.

        :param text: Markdown of the whole page
        """
        self._text = text

    def with_blocks(self, blocks: Mapping[str, str]) -> str:
        """Return the page with replaced blocks.

        :param blocks: new Markdown of each block by its name
        :raises ValueError: a block does not occur exactly once
        """
        text = self._text
        for name, block in blocks.items():
            pattern = re.compile(
                rf"(<!-- {re.escape(name)} -->\n).*?(<!-- end -->)", re.DOTALL
            )
            if len(pattern.findall(text)) != 1:
                raise ValueError(
                    f"the page must have exactly one block <!-- {name} -->"
                )
            text = pattern.sub(
                lambda match, block=block: (
                    f"{match[1]}{block.rstrip()}\n{match[2]}"
                ),
                text,
            )
        return text
