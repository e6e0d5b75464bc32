"""The page with generated tables."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class CapacityPage:
    """Text with blocks between ``<!-- NAME -->`` and ``<!-- end -->``."""

    def __init__(self, text: str) -> None:
        """Take the page as it is.

        :param text: Markdown
        """
        self._text = text

    def with_blocks(self, blocks: Mapping[str, str]) -> str:
        """Return the page with other blocks.

        :param blocks: Markdown by the name of its block
        :raises ValueError: the page does not have one of the blocks
        """
        text = self._text
        for name, block in blocks.items():
            pattern = re.compile(
                rf"(<!-- {re.escape(name)} -->\n).*?(<!-- end -->)", re.DOTALL
            )
            if len(pattern.findall(text)) != 1:
                raise ValueError(f"give the page one block <!-- {name} -->")
            text = pattern.sub(
                lambda found, block=block: (
                    f"{found[1]}{block.rstrip()}\n{found[2]}"
                ),
                text,
            )
        return text
